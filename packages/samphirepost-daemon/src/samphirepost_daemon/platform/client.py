"""Calls the platform's store over HTTP.

Each call has a connection of its own, so one that went silent costs no more
than the call's timeout.
"""

import base64
import urllib.parse

import msgspec
import urllib3

from samphirepost import errors
from samphirepost_daemon.entry import store

# A call's longest wait for an answer (s): in slow spells a write takes 60
# times 8 ms and a read 60 times 4 ms (site files, `platform_slow`).
WRITE_TIMEOUT_S = 1.2
READ_TIMEOUT_S = 0.7
# What a waiting call gets on top of its wait (s).
FEED_SLACK_S = 0.4
CONNECT_TIMEOUT_S = 0.15
# The store gives at most this many rows a page.
PAGE_ROWS = 500


class _Row(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    ver: int = 0
    nowMs: float = 0
    hasMore: bool = False
    parts: list[str] = []


class Client:
    """The platform's store; safe for use by many threads."""

    def __init__(self, address, metrics):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._metrics = metrics

    def read(self, table, part, start="", end=""):
        """Reads a range of keys."""
        query = {"table": table, "part": part, "limit": PAGE_ROWS}
        if start:
            query["from"] = start
        if end:
            query["to"] = end
        found = self._rows("/rows-get", query)
        if isinstance(found, errors.Failure):
            return found
        rows = tuple(_row(row) for row in found.rows)
        return store.Page(rows, found.ver, int(found.nowMs), found.hasMore)

    def parts(self, table):
        """Lists the parts of a table."""
        parts = []
        query = {"table": table}
        while True:
            found = self._rows("/rows-parts", query)
            if isinstance(found, errors.Failure):
                return found
            parts.extend(found.parts)
            if not found.hasMore or not found.parts:
                return tuple(parts)
            query["after"] = found.parts[-1]

    def changes(self, table, after, wait_s):
        """Reads the changes after a revision; waits for the first one."""
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": after, "waitMs": wait_ms}
        timeout_s = wait_s + FEED_SLACK_S
        found = self._rows("/rows-feed", query, timeout_s)
        if isinstance(found, (errors.Failure, store.HistoryLost)):
            return found
        rows = tuple(_row(row) for row in found.rows)
        return store.Changes(rows, found.ver, int(found.nowMs))

    def commit(self, transaction):
        """Writes a transaction."""
        body = {
            "expectedRev": [
                {**_name(key), "ver": revision}
                for key, revision in transaction.expected.items()
            ],
            "put": [
                {**_name(key), "value": base64.b64encode(value).decode()}
                for key, value in transaction.puts.items()
            ],
            "remove": [_name(key) for key in transaction.removes],
        }
        answer = self._call("POST", "/rows-tx", msgspec.json.encode(body))
        if isinstance(answer, errors.Failure):
            return answer
        status, data = answer
        found = _decode(data)
        if isinstance(found, errors.Failure):
            return found.as_unknown() if status == 200 else found
        if status == 200:
            return store.Written(found.ver, int(found.nowMs))
        if status == 412:
            rows = tuple(_row(row) for row in found.rows)
            return store.Conflict(rows, int(found.nowMs))
        return _refused(f"rows-tx: {status} {data[:200]!r}")

    def put_object(self, name, data):
        """Writes an object unless it exists."""
        path = f"/blob-put/{urllib.parse.quote(name, safe='')}"
        answer = self._call("PUT", path, data, headers={"If-None-Match": "*"})
        if isinstance(answer, errors.Failure):
            return answer
        if answer[0] in (200, 201, 204, 412):
            return None
        return _refused(f"blob-put: {answer[0]}")

    def get_object(self, name):
        """Reads an object."""
        path = f"/blob-get/{urllib.parse.quote(name, safe='')}"
        answer = self._call("GET", path)
        if isinstance(answer, errors.Failure):
            return answer
        if answer[0] == 200:
            return answer[1]
        return _refused(f"blob-get: {answer[0]}")

    def _rows(self, path, query, timeout_s=READ_TIMEOUT_S):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = self._call("GET", target, timeout_s=timeout_s)
        if isinstance(answer, errors.Failure):
            return answer
        status, data = answer
        if status == 410:
            return store.HistoryLost()
        if status != 200:
            return _refused(f"{path}: {status}")
        return _decode(data)

    def _call(
        self, method, path, body=None, headers=None, timeout_s=WRITE_TIMEOUT_S
    ):
        call = path.partition("?")[0].strip("/").partition("/")[0]
        conn = urllib3.connection.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            answer = self._exchange(
                conn, method, path, body, headers, timeout_s
            )
        finally:
            conn.close()
        result = "failed"
        if not isinstance(answer, errors.Failure):
            result = str(answer[0])
        self._metrics.store_calls.labels(call, result).inc()
        return answer

    def _exchange(self, conn, method, path, body, headers, timeout_s):
        try:
            conn.connect()
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            return _refused(f"the store cannot be reached: {exc}")
        conn.timeout = timeout_s
        sent = {"Content-Type": "application/json", "Connection": "close"}
        sent.update(headers or {})
        try:
            conn.request(method, path, body=body, headers=sent)
            resp = conn.getresponse()
            data = resp.data
        except (OSError, urllib3.exceptions.HTTPError, ValueError) as exc:
            reason = f"the store's answer was lost: {exc!r}"
            return errors.Failure(
                errors.Kind.PLATFORM_UNCERTAIN, reason, errors.Outcome.UNKNOWN
            )
        if resp.status in (429, 503):
            return _refused(f"the store refused: {resp.status}")
        if resp.status >= 500:
            return _refused(f"the store failed: {resp.status}").as_unknown()
        return resp.status, data


def _name(key):
    return {"table": key.table, "part": key.part, "key": key.key}


def _row(row):
    key = store.Key(row.table, row.part, row.key)
    value = base64.b64decode(row.value)
    return store.Row(key, value, row.ver, row.deleted)


def _decode(data):
    try:
        return msgspec.json.decode(data, type=_Rows)
    except msgspec.DecodeError as exc:
        return _refused(f"the store's answer is not readable: {exc}")


def _refused(reason):
    return errors.Failure(errors.Kind.PLATFORM_OUT, reason)
