"""Lets large buffers go back to the system when they are freed."""

import functools

# Parameter of the C library's ``mallopt``: the size from which a block has memory of
# its own, which is unmapped when the block is freed.
M_MMAP_THRESHOLD = -3
LARGE_BUFFER_BYTES = 262_144


@functools.cache
def return_large_buffers():
    """Give each large buffer memory of its own, from now on.

    The C library raises that size by itself, up to 32 MiB, when a large buffer is
    freed. Buffers that grow side by side then leave gaps that nothing fits into, and
    the process keeps them.
    """
    # Imported only by processes that get large buffers; it takes time at the start.
    import ctypes

    # C libraries other than glibc have no such function.
    set_parameter = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_parameter is not None:
        set_parameter(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
