"""Reads a batch upload line by line and stores it in chunks of items."""

import uuid

import msgspec

from samphirepost import errors
from samphirepost import hashing

CHUNK_ITEMS = 1000


class ItemBody(msgspec.Struct):
    """The completion request of one item."""

    model: str
    prompt: str = ""
    max_tokens: int = 64


class ItemLine(msgspec.Struct):
    """One line of an upload."""

    custom_id: str = ""
    body: ItemBody | None = None


class Upload(msgspec.Struct, frozen=True):
    """A valid upload whose chunks are stored."""

    route: str
    total: int
    chunks: tuple[str, ...]
    digest: str


class UploadReader:
    """Checks and stores the lines of one upload.

    At most one chunk is in memory, besides the custom ids. The digest of the
    upload is computed from the digests of its chunks.
    """

    def __init__(self, objects, items_max):
        self._objects = objects
        self._items_max = items_max
        self._prefix = f"uploads/{uuid.uuid4().hex}"
        self._custom_ids = set()
        self._lines = []
        self._chunk_names = []
        self._chunk_digests = []
        self._route = ""
        self._total = 0

    def read(self, file):
        """Reads the upload from a binary file; returns it, or a Failure.

        Stops at the first invalid line or at a chunk that can't be stored.
        """
        while True:
            line = file.readline()
            if not line:
                return self._finish()
            if not line.strip():
                continue
            failure = self._add_line(line.strip())
            if failure is not None:
                return failure

    def _add_line(self, line):
        number = self._total + 1
        if number > self._items_max:
            reason = f"a job holds at most {self._items_max} items"
            return errors.Failure(errors.Kind.TOO_MANY_ITEMS, reason)
        try:
            item = msgspec.json.decode(line, type=ItemLine)
        except msgspec.ValidationError as exc:
            return _line_failure(errors.Kind.BAD_REQUEST, number, str(exc))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _line_failure(errors.Kind.BAD_JSON, number, str(exc))
        failure = self._check_item(item, number)
        if failure is not None:
            return failure
        self._total = number
        self._lines.append(line)
        if len(self._lines) == CHUNK_ITEMS:
            return self._flush()
        return None

    def _check_item(self, item, number):
        if not item.custom_id:
            reason = "it has no custom_id"
            return _line_failure(errors.Kind.ITEM_WITHOUT_ID, number, reason)
        if item.custom_id in self._custom_ids:
            reason = f"custom_id {item.custom_id!r} stands in another line"
            return _line_failure(errors.Kind.DUPLICATE_ITEM, number, reason)
        if item.body is None:
            return _line_failure(
                errors.Kind.BAD_REQUEST, number, "it has no body"
            )
        self._route = self._route or item.body.model
        if item.body.model != self._route:
            reason = f"every item must name the model {self._route!r}"
            return _line_failure(errors.Kind.BAD_REQUEST, number, reason)
        self._custom_ids.add(item.custom_id)
        return None

    def _flush(self):
        data = b"\n".join(self._lines)
        name = f"{self._prefix}-{len(self._chunk_names):04d}"
        failure = self._objects.put(name, data)
        if failure is not None:
            return errors.Failure(failure.kind, "the items can't be stored")
        self._chunk_names.append(name)
        self._chunk_digests.append(hashing.digest(data))
        self._lines = []
        return None

    def _finish(self):
        if self._total == 0:
            return errors.Failure(errors.Kind.BAD_REQUEST, "it has no items")
        if self._lines:
            failure = self._flush()
            if failure is not None:
                return failure
        digest = hashing.digest("".join(self._chunk_digests).encode())
        names = tuple(self._chunk_names)
        return Upload(self._route, self._total, names, digest)


def _line_failure(kind, number, reason):
    return errors.Failure(kind, f"line {number}: {reason}")
