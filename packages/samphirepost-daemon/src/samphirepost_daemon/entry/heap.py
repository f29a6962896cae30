"""Settings of the C library's heap, from which Python takes large blocks.

glibc raises the size from which blocks are mapped, up to 32 MiB, whenever a
larger one is freed. Bodies then come from the heaps of single threads, which
keep what is freed in their middle, so that a process with many threads may
grow to several times of what it uses.
"""

import ctypes

# Blocks of this size or more are mapped, and returned to the system once they
# are freed.
MAPPED_BLOCK_BYTES = 131_072
# The parameter M_MMAP_THRESHOLD of mallopt(3).
_MMAP_THRESHOLD = -3


def return_large_blocks():
    """Has large blocks returned to the system when they are freed.

    Returns whether the C library does; one without mallopt() is left as it
    is.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(
        mallopt(_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    )
