"""Log stream that drops lines instead of blocking on a slow reader."""

from __future__ import annotations

import os

# A write of up to this many bytes to a pipe is atomic.  Longer lines are
# truncated.
MAX_LINE_BYTES = 4096


class BoundedStream:
    """Writes lines to a file descriptor without blocking.

    A line that can't be written at once is dropped.  The number of dropped
    lines is written before the next line that can be written.
    """

    def __init__(self, *, fd: int) -> None:
        self.dropped = 0
        self._fd = fd
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped."""
        if self.dropped and self._try_write(f'msg=log_dropped lines={self.dropped}\n'):
            self.dropped = 0
        if not self._try_write(text):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, because lines are not buffered."""

    def _try_write(self, text: str) -> bool:
        data = text.encode(errors='replace')
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b'\n'
        try:
            return os.write(self._fd, data) > 0
        except OSError:
            return False
