"""The heap of the C library, which keeps freed memory."""

from __future__ import annotations


def trim_heap() -> None:
    """Return the heap's free pages to the system.

    After many large requests the C library kept up to 20 MB, because small objects
    still in use lay between the freed ones.  Without the call this does nothing.
    """
    # Imported at the first use, because it would delay the start of a program.
    import ctypes

    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
