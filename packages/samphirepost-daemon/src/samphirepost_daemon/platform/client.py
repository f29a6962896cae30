"""HTTP client of the platform's store.

Each request has its own connection, so that a stalled connection costs no
more than the timeout of one request.
"""

import base64
import urllib.parse

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors
from samphirepost import memorybudget
from samphirepost_daemon.entry import boundedhttp
from samphirepost_daemon.entry import store

# Timeouts for a response: while the platform is slow (`platform_slow` in the
# site files), a write takes 60 times 8 ms and a read 60 times 4 ms.
WRITE_TIMEOUT_S = 1.2
READ_TIMEOUT_S = 0.7
# The timeout of a feed (a request for changes) is its wait plus this.
FEED_TIMEOUT_MARGIN_S = 0.4
CONNECT_TIMEOUT_S = 0.15
# The store returns at most this many rows in a page.
PAGE_ROWS_MAX = 500


class _RowEntry(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _RowsResponse(msgspec.Struct):
    rows: list[_RowEntry] = []
    ver: int = 0
    nowMs: float = 0
    hasMore: bool = False
    parts: list[str] = []


class StoreClient:
    """Implements `store.Store` with HTTP requests; thread-safe."""

    def __init__(self, address, metrics, watchdog, budget=None):
        self._watchdog = watchdog
        self._budget = budget
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._metrics = metrics

    def read_rows(self, table, part, start="", end=""):
        """Returns a Page of the rows in a range of keys, or a Failure."""
        query = {"table": table, "part": part, "limit": PAGE_ROWS_MAX}
        if start:
            query["from"] = start
        if end:
            query["to"] = end
        found = self._get_rows("/rows-get", query)
        if isinstance(found, errors.Failure):
            return found
        rows = tuple(_decode_row(row) for row in found.rows)
        return store.Page(rows, found.ver, int(found.nowMs), found.hasMore)

    def list_parts(self, table):
        """Returns the parts of a table, or a Failure."""
        parts = []
        query = {"table": table}
        while True:
            found = self._get_rows("/rows-parts", query)
            if isinstance(found, errors.Failure):
                return found
            parts.extend(found.parts)
            if not found.hasMore or not found.parts:
                return tuple(parts)
            query["after"] = found.parts[-1]

    def read_changes(self, table, after, wait_s):
        """Returns Changes after a revision, HistoryCompacted or a Failure.

        Waits up to `wait_s` seconds for the first change.
        """
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": after, "waitMs": wait_ms}
        timeout_s = wait_s + FEED_TIMEOUT_MARGIN_S
        found = self._get_rows("/rows-feed", query, timeout_s)
        if isinstance(found, (errors.Failure, store.HistoryCompacted)):
            return found
        rows = tuple(_decode_row(row) for row in found.rows)
        return store.Changes(rows, found.ver, int(found.nowMs))

    def commit(self, transaction):
        """Applies a transaction if all expected revisions match.

        Returns CommitReceipt, Conflict or a Failure.
        """
        body = {
            "expectedRev": [
                {**_encode_key(key), "ver": revision}
                for key, revision in transaction.expected.items()
            ],
            "put": [
                {**_encode_key(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.puts.items()
            ],
            "remove": [_encode_key(key) for key in transaction.removes],
        }
        answer = self._send_request(
            "POST", "/rows-tx", msgspec.json.encode(body)
        )
        if isinstance(answer, errors.Failure):
            return answer
        status, data = answer
        found = _decode_response(data)
        if isinstance(found, errors.Failure):
            return found.as_unknown() if status == 200 else found
        if status == 200:
            return store.CommitReceipt(found.ver, int(found.nowMs))
        if status == 412:
            rows = tuple(_decode_row(row) for row in found.rows)
            return store.Conflict(rows, int(found.nowMs))
        return _platform_failure(f"rows-tx: {status} {data[:200]!r}")

    def put_object(self, name, data):
        """Writes an object unless it exists; returns None or a Failure."""
        path = f"/blob-put/{urllib.parse.quote(name, safe='')}"
        answer = self._send_request(
            "PUT", path, data, headers={"If-None-Match": "*"}
        )
        if isinstance(answer, errors.Failure):
            return answer
        if answer[0] in (200, 201, 204, 412):
            return None
        return _platform_failure(f"blob-put: {answer[0]}")

    def get_object(self, name):
        """Returns the bytes of an object, or a Failure."""
        path = f"/blob-get/{urllib.parse.quote(name, safe='')}"
        answer = self._send_request("GET", path)
        if isinstance(answer, errors.Failure):
            return answer
        if answer[0] == 200:
            return answer[1]
        return _platform_failure(f"blob-get: {answer[0]}")

    def _get_rows(self, path, query, timeout_s=READ_TIMEOUT_S):
        path_with_query = f"{path}?{urllib.parse.urlencode(query)}"
        answer = self._send_request(
            "GET", path_with_query, timeout_s=timeout_s
        )
        if isinstance(answer, errors.Failure):
            return answer
        status, data = answer
        if status == 410:
            return store.HistoryCompacted()
        if status != 200:
            return _platform_failure(f"{path}: {status}")
        return _decode_response(data)

    def _send_request(
        self, method, path, body=None, headers=None, timeout_s=WRITE_TIMEOUT_S
    ):
        operation = path.partition("?")[0].strip("/").partition("/")[0]
        conn = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_S
        )
        account = None
        if self._budget is not None:
            # Large answers to one operation leave room for the others.
            account = self._budget.account(memorybudget.Kind.STORE, operation)
        try:
            answer = self._send_on_connection(
                conn, method, path, body, headers, timeout_s, account
            )
        finally:
            conn.close()
            if account is not None:
                account.close()
        result = "failed"
        if not isinstance(answer, errors.Failure):
            result = str(answer[0])
        self._metrics.store_calls.labels(operation, result).inc()
        return answer

    def _send_on_connection(
        self, conn, method, path, body, headers, timeout_s, account
    ):
        try:
            conn.connect()
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            return _platform_failure(f"the store cannot be reached: {exc}")
        conn.timeout = timeout_s
        all_headers = {
            "Content-Type": "application/json",
            "Connection": "close",
        }
        all_headers.update(headers or {})
        try:
            status, data = boundedhttp.request(
                conn,
                self._watchdog,
                method,
                path,
                body,
                all_headers,
                account,
            )
        except boundedhttp.NoMemoryError as exc:
            return errors.Failure(
                errors.Kind.NO_MEMORY, str(exc), errors.Outcome.UNKNOWN
            )
        except boundedhttp.FAILURES as exc:
            reason = f"the store's answer was lost: {exc!r}"
            return errors.Failure(
                errors.Kind.PLATFORM_UNCERTAIN, reason, errors.Outcome.UNKNOWN
            )
        if status in (429, 503):
            return _platform_failure(f"the store refused: {status}")
        if status >= 500:
            return _platform_failure(
                f"the store failed: {status}"
            ).as_unknown()
        return status, data


def _encode_key(key):
    return {"table": key.table, "part": key.part, "key": key.key}


def _decode_row(row):
    key = store.Key(row.table, row.part, row.key)
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # Whoever decodes the value reports it; the other rows hold.
        value = b""
    return store.Row(key, value, row.ver, row.deleted)


def _decode_response(data):
    found = codec.from_json(data, _RowsResponse)
    if isinstance(found, errors.Failure):
        reason = f"the store's answer is not readable: {found.reason}"
        return _platform_failure(reason)
    return found


def _platform_failure(reason):
    return errors.Failure(errors.Kind.PLATFORM_OUT, reason)
