"""Emulator of the platform's store, served over HTTP on loopback."""

import base64
import http.server
import json
import sys
import threading
import time
import urllib.parse

from samphirepost import errors
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import store

POLL_INTERVAL_S = 0.01


class StoreServer(http.server.ThreadingHTTPServer):
    """Serves one MemoryStore.

    While `unavailable` is set, every request gets status 503. Each read of
    the change feed is delayed by `feed_delay_s`.
    """

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), StoreHandler)
        self.store = memorystore.MemoryStore()
        self.unavailable = False
        self.feed_delay_s = 0.0

    @property
    def address(self):
        """The server's IP:PORT."""
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, request, client_address):
        """Ignores clients that disconnected before the response."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)

    def start(self):
        """Serves in a daemon thread until `shutdown` or process exit."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def put_row(self, table, key, document):
        """Writes a row as JSON, as the operator or an engine would.

        Returns whether the store has acknowledged it.
        """
        name = store.Key(table, "", key)
        data = json.dumps(document).encode()
        found = self.store.commit(store.Transaction({}, {name: data}))
        return isinstance(found, store.CommitReceipt)

    def remove_row(self, table, key):
        """Removes a row."""
        name = store.Key(table, "", key)
        self.store.commit(store.Transaction({}, {}, (name,)))


class StoreHandler(http.server.BaseHTTPRequestHandler):
    """Translates the platform's HTTP requests to calls of MemoryStore.

    A transaction that fails closes the connection without a response.
    """

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Suppresses the request log on standard error."""

    def do_GET(self):
        """Serves reads of rows, parts, changes and objects."""
        url = urllib.parse.urlsplit(self.path)
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        if self.server.unavailable:
            return self._send_json(503, {})
        if url.path == "/rows-get":
            return self._send_rows(query)
        if url.path == "/rows-parts":
            parts = self.server.store.list_parts(query["table"])
            return self._send_json(
                200, {"parts": list(parts), "hasMore": False}
            )
        if url.path == "/rows-feed":
            return self._send_changes(query)
        if url.path.startswith("/blob-get/"):
            name = urllib.parse.unquote(url.path[len("/blob-get/") :])
            return self._send_bytes(200, self.server.store.get_object(name))
        return self._send_json(404, {})

    def do_POST(self):
        """Applies a transaction."""
        data = self.rfile.read(int(self.headers["Content-Length"]))
        if self.server.unavailable:
            return self._send_json(503, {})
        found = self.server.store.commit(
            _decoded_transaction(json.loads(data))
        )
        if isinstance(found, errors.Failure):
            self.close_connection = True
            return None
        if isinstance(found, store.Conflict):
            body = {"rows": _encoded_rows(found.rows), "nowMs": found.store_ms}
            return self._send_json(412, body)
        body = {"ver": found.revision, "nowMs": found.store_ms}
        return self._send_json(200, body)

    def do_PUT(self):
        """Writes an object unless it exists."""
        data = self.rfile.read(int(self.headers["Content-Length"]))
        if self.server.unavailable:
            return self._send_json(503, {})
        name = urllib.parse.unquote(self.path[len("/blob-put/") :])
        self.server.store.put_object(name, data)
        return self._send_json(200, {})

    def _send_rows(self, query):
        page = self.server.store.read_rows(
            query["table"],
            query["part"],
            query.get("from", ""),
            query.get("to", ""),
        )
        self._send_json(
            200,
            {
                "rows": _encoded_rows(page.rows),
                "hasMore": False,
                "ver": page.revision,
                "nowMs": _store_ms(),
            },
        )

    def _send_changes(self, query):
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000
        pause = threading.Event()
        pause.wait(self.server.feed_delay_s)
        while True:
            found = self.server.store.read_changes(
                query["table"], int(query["after"]), 0
            )
            if (
                found.rows
                or time.monotonic() >= deadline_s
                or self.server.unavailable
            ):
                break
            pause.wait(POLL_INTERVAL_S)
        body = {"rows": _encoded_rows(found.rows), "ver": found.revision}
        self._send_json(200, {**body, "nowMs": _store_ms()})

    def _send_json(self, status, document):
        self._send_bytes(status, json.dumps(document).encode())

    def _send_bytes(self, status, data):
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def _store_ms():
    return int(time.monotonic() * 1000)


def _decoded_key(entry):
    return store.Key(entry["table"], entry["part"], entry["key"])


def _decoded_transaction(body):
    return store.Transaction(
        {_decoded_key(one): one["ver"] for one in body["expectedRev"]},
        {
            _decoded_key(one): base64.b64decode(one["value"])
            for one in body["put"]
        },
        tuple(_decoded_key(one) for one in body["remove"]),
    )


def _encoded_rows(rows):
    return [
        {
            "table": row.key.table,
            "part": row.key.part,
            "key": row.key.key,
            "value": base64.b64encode(row.value).decode(),
            "ver": row.revision,
            **({"deleted": True} if row.deleted else {}),
        }
        for row in rows
    ]
