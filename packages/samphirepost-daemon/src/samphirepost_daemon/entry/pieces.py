"""Values that may be larger than a row, kept in pieces."""


class Pieces:
    """Splits values for rows that take `row_bytes_max` bytes of base64."""

    __slots__ = ("bytes_max",)

    def __init__(self, row_bytes_max):
        self.bytes_max = row_bytes_max * 3 // 4

    def split(self, data):
        """Returns the pieces of a value, in order."""
        return [
            data[start : start + self.bytes_max]
            for start in range(0, len(data), self.bytes_max)
        ]

    def join(self, rows, more):
        """Returns whole values; the rows' keys are NAME/NUMBER, in order.

        If `more` rows follow, the last value may be cut and is left out.
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
        return [b"".join(parts) for parts in values]

    def puts(self, key, data):
        """Returns the rows of a value: KEY/NUMBER in the key's place."""
        return {
            type(key)(key.table, key.part, f"{key.key}/{number:03d}"): piece
            for number, piece in enumerate(self.split(data))
        }
