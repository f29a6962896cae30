"""Splits values that may be larger than a store row into chunks."""


class Chunker:
    """Splits values into chunks, and joins the chunks.

    Encoded in base64, a chunk has at most `row_bytes_max` bytes.
    """

    __slots__ = ("chunk_bytes_max",)

    def __init__(self, row_bytes_max):
        self.chunk_bytes_max = row_bytes_max * 3 // 4

    def split(self, data):
        """Returns the chunks of a value, in order."""
        return [
            data[start : start + self.chunk_bytes_max]
            for start in range(0, len(data), self.chunk_bytes_max)
        ]

    def join(self, rows, more):
        """Returns the complete values in rows with keys NAME/NUMBER, in order.

        If `more` is true, further rows follow: the last value may be
        incomplete and is left out.
        """
        values = []
        name = None
        for row in rows:
            stem, _, _ = row.key.key.rpartition("/")
            if stem != name:
                values.append([])
                name = stem
            values[-1].append(row.value)
        if more and values:
            values.pop()
        return [b"".join(chunks) for chunks in values]

    def split_to_rows(self, key, data):
        """Returns the chunks of a value by row key (KEY/NUMBER)."""
        return {
            type(key)(key.table, key.part, f"{key.key}/{number:03d}"): chunk
            for number, chunk in enumerate(self.split(data))
        }
