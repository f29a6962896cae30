"""One HTTP listener: a waitress server with threads of its own."""

import logging
import threading

import waitress

# waitress reports connections that callers left; the daemon logs these with
# the request's id itself.
logging.getLogger("waitress").setLevel(logging.CRITICAL)

CONNECTIONS_MAX = 4000


class Listener:
    """Serves one WSGI application at one address."""

    def __init__(self, app, address, threads, body_bytes_max, idle_s=60):
        host, _, port = address.rpartition(":")
        self._server = waitress.create_server(
            app,
            map={},
            host=host,
            port=int(port),
            threads=threads,
            max_request_body_size=body_bytes_max,
            inbuf_overflow=body_bytes_max,
            outbuf_overflow=body_bytes_max,
            connection_limit=CONNECTIONS_MAX,
            channel_timeout=idle_s,
            cleanup_interval=5,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            ident=None,
            backlog=1024,
            clear_untrusted_proxy_headers=False,
        )
        self._thread = threading.Thread(target=self._server.run, daemon=True)

    def start(self):
        """Starts to accept connections."""
        self._thread.start()

    @property
    def idle(self):
        """Whether no request is in progress or waits to be sent."""
        return not any(
            channel.requests or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )
