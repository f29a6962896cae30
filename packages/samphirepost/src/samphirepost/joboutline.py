"""What the holder of a job keeps of its record: all but its items' bodies.

Bodies may be large and wait long, so they are read from the store when an
item starts.
"""

import sys

import msgspec

# Memory of an item's object beside its strings and headers.
ITEM_OBJECT_BYTES = 96


class ItemOutline(msgspec.Struct, frozen=True):
    """A batchjob.Item without its body."""

    id: str
    path: str
    headers: dict[str, str]
    tokens: int

    @property
    def kept_bytes(self):
        """The memory that it takes."""
        texts = (
            self.id,
            self.path,
            *self.headers.keys(),
            *self.headers.values(),
        )
        size = sum(map(sys.getsizeof, texts))
        return ITEM_OBJECT_BYTES + sys.getsizeof(self.headers) + size


class JobOutline(msgspec.Struct, frozen=True):
    """A batchjob.Record without the bodies of its items."""

    id: str
    host: str
    path: str
    items: tuple[ItemOutline, ...]
    organisation: str = ""

    @property
    def kept_bytes(self):
        """The memory that it takes."""
        return sum(item.kept_bytes for item in self.items)


def outline_of(record):
    """Returns the JobOutline of a batchjob.Record."""
    return JobOutline(
        record.id,
        record.host,
        record.path,
        tuple(
            ItemOutline(item.id, item.path, item.headers, item.tokens)
            for item in record.items
        ),
        record.organisation,
    )
