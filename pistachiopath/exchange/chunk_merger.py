"""Merging of the small chunks of a body before they are parsed."""

from __future__ import annotations

import re

# A chunk of more bytes costs the parser little for each of them.
MAX_SMALL_BYTES = 4096
MAX_SIZE_LINE_BYTES = 10
_LINE_END = b'\r\n'
_SIZE_LINE = re.compile(rb'([0-9a-fA-F]{1,8})\r\n')
_PART_OF_SIZE_LINE = re.compile(rb'[0-9a-fA-F]{1,8}\r?')


class ChunkMerger:
    r"""Joins small chunks that arrive together into one with the same content.

    A parser takes as long for a chunk of one byte as for one of many.  `merge` takes
    the bytes of a chunked body as they arrive, and returns what to parse in their
    place.  Only small whole chunks change.  From the last chunk on, and from what is
    not a plain chunk, all stays as it is.

    >>> ChunkMerger().merge(b'1\r\na\r\n2\r\nbc\r\n3\r\nd')
    b'3\r\nabc\r\n3\r\nd'
    """

    def __init__(self) -> None:
        self._is_over = False
        # Bytes that still arrive before the next chunk begins.
        self._until_chunk = 0
        # The part of a size line that has arrived already.
        self._line = b''

    def merge(self, data: bytes) -> bytes:
        """Return bytes that are parsed to the same content, or to the same error."""
        if self._line:
            self._continue_line(data)
        if self._is_over or self._line:
            return data
        if self._until_chunk >= len(data):
            self._until_chunk -= len(data)
            return data
        return self._merge_from(data, self._until_chunk)

    def _merge_from(self, data: bytes, begin: int) -> bytes:
        """Merge the chunks from `begin` on, where one begins."""
        merged = [data[:begin]]
        while begin < len(data):
            contents, end = _small_chunks(data, begin)
            if contents:
                content = b''.join(contents)
                merged.append(b'%x\r\n%b\r\n' % (len(content), content))
            begin = self._pass_chunk(data, end)
            merged.append(data[end:begin])
        return b''.join(merged)

    def _pass_chunk(self, data: bytes, begin: int) -> int:
        """Return the end of what is left as it is from `begin` on."""
        self._until_chunk = 0
        if begin == len(data):
            return begin
        line = _SIZE_LINE.match(data, begin)
        if line is None:
            self._begin_line(data[begin : begin + MAX_SIZE_LINE_BYTES])
            return len(data)
        end = self._chunk_end(line)
        self._until_chunk = max(0, end - len(data))
        return len(data) if self._is_over else min(end, len(data))

    def _begin_line(self, data: bytes) -> None:
        """Remember the beginning of a size line."""
        self._is_over = _PART_OF_SIZE_LINE.fullmatch(data) is None
        self._line = b'' if self._is_over else data

    def _continue_line(self, data: bytes) -> None:
        """Find where the chunk ends whose size line had not arrived whole."""
        known = len(self._line)
        joined = self._line + data[:MAX_SIZE_LINE_BYTES]
        line = _SIZE_LINE.match(joined)
        if line is None:
            self._begin_line(joined)
            return
        self._line = b''
        self._until_chunk = self._chunk_end(line) - known

    def _chunk_end(self, line: re.Match[bytes]) -> int:
        """Return where the chunk with this size line ends.

        Behind the last one there are no more chunks.
        """
        size = int(line[1], 16)
        self._is_over = not size
        return line.end() + size + len(_LINE_END)


def _small_chunks(data: bytes, begin: int) -> tuple[list[bytes], int]:
    """Return the contents of the small whole chunks from `begin` on, and their end."""
    contents = []
    match_line = _SIZE_LINE.match
    while line := match_line(data, begin):
        size = int(line[1], 16)
        first = line.end()
        last = first + size
        is_whole = data[last : last + 2] == _LINE_END
        if not 0 < size <= MAX_SMALL_BYTES or not is_whole:
            break
        contents.append(data[first:last])
        begin = last + 2
    return contents, begin
