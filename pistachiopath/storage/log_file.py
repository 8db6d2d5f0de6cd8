"""The log file of a data folder."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile, RecordOutOfPlace
from ..errors.transport import FrameTooLarge, MalformedFrame
from ..transport.codec import decode_message, encode_message
from ..transport.frames import HEADER, FrameBuffer, pack
from .atomic_file import replace_file, sync_folder, write_all
from .log_check import usable_entries

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ..messages.replication import Entry
    from ..messages.storage import SnapshotHead

logger = logging.getLogger(__name__)

NO_FILE = -1


class LogFile:
    """Records behind the snapshot, one frame each, with contiguous indexes.

    Appended records are written by `sync`, all at once.  A loss of power can then
    tear only the last write, and no whole record can follow a hole.  Methods raise
    `OSError`.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._offsets: list[int] = []
        self._first_index = 1
        self._size = 0
        self._unwritten = bytearray()
        self._is_dirty = False
        self._fd = NO_FILE

    def open(self, head: SnapshotHead) -> tuple[Entry, ...]:
        """Open the file and return the records behind a snapshot.

        What can't be used is removed from the file, and the rest is made durable.
        Raises `CorruptFile`, `MalformedFrame` or `FrameTooLarge`.
        """
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        sync_folder(self._path.parent)
        data = self._path.read_bytes()
        stored = self._parse(data)
        entries = usable_entries(
            stored, snapshot_index=head.index, snapshot_term=head.term
        )
        if not _is_run(stored, entries):
            self._log_repair(head, stored, entries)
            self._rewrite(head.index + 1, entries)
        else:
            if self._size < len(data):
                self._set_length(self._size)
            self._write_again(data[: self._size])
        if not entries and not stored:
            self._first_index = head.index + 1
        os.lseek(self._fd, self._size, os.SEEK_SET)
        return entries

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add records behind the last one; raises `RecordOutOfPlace`."""
        for entry in entries:
            expected = self._first_index + len(self._offsets)
            if entry.index != expected:
                raise RecordOutOfPlace(expected=expected, index=entry.index)
            frame = pack(encode_message(entry))
            self._offsets.append(self._size)
            self._size += len(frame)
            self._unwritten += frame

    def truncate_from(self, index: int) -> None:
        """Delete the records from an index on, durably.

        Otherwise a loss of power could keep old records behind newer ones.
        """
        position = index - self._first_index
        if not 0 <= position < len(self._offsets):
            return
        self.flush()
        size = self._offsets[position]
        del self._offsets[position:]
        self._set_length(size)
        os.lseek(self._fd, size, os.SEEK_SET)

    def drop_through(self, index: int) -> None:
        """Delete the records up to an index, which a snapshot covers, durably."""
        self.flush()
        position = max(0, index + 1 - self._first_index)
        kept_offsets = self._offsets[position:]
        start = kept_offsets[0] if kept_offsets else self._size
        kept_data = os.pread(self._fd, self._size - start, start)
        self._replace(kept_data)
        self._offsets = [offset - start for offset in kept_offsets]
        self._first_index = index + 1

    def clear(self, next_index: int) -> None:
        """Delete all records durably; the next one has this index."""
        self._unwritten.clear()
        self._replace(b'')
        self._offsets = []
        self._first_index = next_index

    def flush(self) -> None:
        """Write the records that wait for the next `sync`."""
        if not self._unwritten:
            return
        data = bytes(self._unwritten)
        self._unwritten.clear()
        write_all(self._fd, data)
        self._is_dirty = True

    def sync(self) -> bool:
        """Make all records durable and return whether there were new ones."""
        self.flush()
        if not self._is_dirty:
            return False
        os.fdatasync(self._fd)
        self._is_dirty = False
        return True

    def close(self) -> None:
        """Close the file; records that were not synced may be lost."""
        if self._fd != NO_FILE:
            fd, self._fd = self._fd, NO_FILE
            os.close(fd)

    def _parse(self, data: bytes) -> list[Entry]:
        """Return the records up to the first torn or missing write."""
        buffer = FrameBuffer()
        buffer.feed(data)
        entries: list[Entry] = []
        while not _is_hole(data, self._size):
            try:
                payload = buffer.next()
            except (MalformedFrame, FrameTooLarge):
                self._check_torn(data)
                break
            if payload is None:
                break
            entries.append(decode_message(payload))
            self._offsets.append(self._size)
            self._size += HEADER.size + len(payload)
        if entries:
            self._first_index = entries[0].index
        return entries

    def _check_torn(self, data: bytes) -> None:
        """Raise `CorruptFile` if nonzero data follows the invalid frame."""
        size, _ = HEADER.unpack_from(data, self._size)
        end = self._size + HEADER.size + size
        if end < len(data) and any(data[end:]):
            raise CorruptFile(file=self._path.name, offset=self._size)

    def _log_repair(
        self, head: SnapshotHead, stored: list[Entry], entries: tuple[Entry, ...]
    ) -> None:
        logger.warning(
            'log_repaired',
            extra={
                'snapshot_index': head.index,
                'snapshot_term': head.term,
                'stored': _summary(stored),
                'usable': _summary(entries),
            },
        )

    def _rewrite(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        """Replace the file by one with these records."""
        self._offsets = []
        self._first_index = first_index
        self._size = 0
        self.append(entries)
        data = bytes(self._unwritten)
        self._unwritten.clear()
        self._replace(data)

    def _replace(self, data: bytes) -> None:
        replace_file(self._path, data)
        self.close()
        self._fd = os.open(self._path, os.O_RDWR)
        os.lseek(self._fd, len(data), os.SEEK_SET)
        self._size = len(data)
        self._is_dirty = False

    def _write_again(self, data: bytes) -> None:
        """Make what was read from the file durable.

        The process that wrote it may have ended before it was synced.  After a
        sync that failed it may be in the page cache alone, and the next sync
        would not store it unless it is written once more.
        """
        if not data:
            return
        os.lseek(self._fd, 0, os.SEEK_SET)
        write_all(self._fd, data)
        os.fsync(self._fd)

    def _set_length(self, size: int) -> None:
        os.ftruncate(self._fd, size)
        os.fsync(self._fd)
        self._size = size
        self._is_dirty = False


def _is_hole(data: bytes, offset: int) -> bool:
    """Return whether zeros are where a frame should begin.

    No frame begins with zeros, so a write there was lost in a power failure.
    It was not synced, and neither was any write after it.
    """
    header = data[offset : offset + HEADER.size]
    return bool(header) and not any(header)


def _is_run(stored: list[Entry], usable: tuple[Entry, ...]) -> bool:
    """Return whether stored records are contiguous and end with all usable ones."""
    if not stored:
        return True
    count = stored[-1].index - stored[0].index + 1
    is_contiguous = count == len(stored) and all(
        entry.index == stored[0].index + number for number, entry in enumerate(stored)
    )
    if not is_contiguous:
        return False
    if not usable:
        return False
    return usable[-1] is stored[-1]


def _summary(entries: Iterable[Entry]) -> str:
    """Return how many records there are, and the indexes and terms of both ends."""
    listed = list(entries)
    if not listed:
        return 'none'
    first, last = listed[0], listed[-1]
    return f'{len(listed)}:{first.index}@{first.term}..{last.index}@{last.term}'
