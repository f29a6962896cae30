"""One HTTP listener: a waitress server with threads of its own."""

import threading

import waitress

FLUSH_POLL_S = 0.02
FLUSH_MAX_S = 5.0


class Listener:
    """Serves one kind of work; kinds never share threads."""

    def __init__(self, app, host, port, threads, body_bytes_max):
        self._server = waitress.create_server(
            app,
            map={},
            host=host,
            port=port,
            threads=threads,
            max_request_body_size=body_bytes_max,
            inbuf_overflow=body_bytes_max,
            outbuf_overflow=body_bytes_max,
            connection_limit=4 * threads,
            channel_timeout=300,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._thread = threading.Thread(target=self._server.run, daemon=True)

    def start(self):
        """Starts to accept connections."""
        self._thread.start()

    def flush(self):
        """Waits until what was answered has left, for a while at most."""
        pause = threading.Event()
        for _ in range(int(FLUSH_MAX_S / FLUSH_POLL_S)):
            channels = list(self._server.active_channels.values())
            if not any(c.total_outbufs_len for c in channels):
                return
            pause.wait(FLUSH_POLL_S)
