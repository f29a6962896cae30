"""Finds the head of an HTTP response inside of bytes.

Each byte is looked at a few times at most, whatever the bytes are: they come
from a faulty engine, and a search whose time grows with their square would
hold up the whole process.
"""

STATUS_START = b"/1."
PROTOCOL = b"HTTP"
# Characters of "HTTP/1.1 200".
STATUS_LENGTH = 12


def holds_head(data, header, value):
    """Whether a response's head with this header line is in some bytes.

    The name of the header and its value are compared without regard to case.
    The head begins with a status line, which may follow other bytes on its
    line; all its lines end with CRLF.
    """
    wanted = f"{header}:".encode().lower(), value.encode().lower()
    position = 0
    while True:
        start = _next_status(data, position)
        if start is None:
            return False
        position, is_line = _next_line(data, start)
        while is_line:
            begin = position
            position, is_line = _next_line(data, begin)
            if is_line and _is_header(data, begin, position, wanted):
                return True
            if not is_line:
                # A status line may follow in the bytes that are no header.
                position = begin + 1
        if position is None:
            return False


def _next_status(data, position):
    """Returns where the next status line may begin, or None."""
    while True:
        found = data.find(STATUS_START, position)
        if found < 0:
            return None
        start = found - len(PROTOCOL)
        if start >= 0 and _is_status(data[start : start + STATUS_LENGTH]):
            return start
        position = found + 1


def _is_status(text):
    """Whether a text is as "HTTP/1.1 200"."""
    return (
        len(text) == STATUS_LENGTH
        and text[:4].upper() == PROTOCOL
        and text[7:8].isdigit()
        and text[8:9] == b" "
        and text[9:].isdigit()
    )


def _next_line(data, begin):
    """Returns where the next line begins, and whether one was complete.

    A line has a character or more and ends with CRLF, and has neither CR nor
    LF before. Without such a line, the first is where to search on, or None if
    there is no further line at all.
    """
    end = data.find(b"\n", begin)
    if end < 0:
        return None, False
    first_return = data.find(b"\r", begin, end)
    if first_return == end - 1 and first_return > begin:
        return end + 1, True
    if first_return < 0:
        return end + 1, False
    return first_return + 1, False


def _is_header(data, begin, end, wanted):
    name, value = wanted
    start = begin + len(name)
    if data[begin:start].lower() != name:
        return False
    return data[start : end - 2].lstrip(b" ").lower() == value
