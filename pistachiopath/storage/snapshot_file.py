"""The snapshot file of a data folder, written in parts."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ..messages.storage import SnapshotHead
from ..transport.codec import encode_message
from ..transport.frames import pack
from .atomic_file import sync_folder, write_all

if TYPE_CHECKING:
    from pathlib import Path

    from ..replication.effects import SaveSnapshot, WriteSnapshotPart

PART_BYTES = 4 * 1024 * 1024
SYNC_BYTES = 1024 * 1024


class SnapshotFile:
    """Writes a snapshot as frames: a head, then the parts of the state.

    Parts are written to a temporary file and synced every `SYNC_BYTES`, so that
    no single step takes long.  `save` renames the file.  A temporary file left
    by a crash is overwritten by the next snapshot.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._temporary = path.with_suffix('.new')
        self._fd = -1
        self._index = 0
        self._term = 0
        self._state_bytes = 0
        self._unsynced_bytes = 0

    def write_part(self, part: WriteSnapshotPart) -> None:
        """Write a part if it follows the last one.

        A part at offset 0 starts a new snapshot.  Any other part that doesn't
        follow the last one is ignored.
        """
        if part.offset == 0:
            self._start(part)
        elif not self._is_writing(part) or part.offset != self._state_bytes:
            return
        self._write(part.data)

    def save(self, snapshot: SaveSnapshot) -> None:
        """Replace the stored snapshot durably.

        If some parts of the new snapshot are missing, all of it is written.
        """
        if not self._is_writing(snapshot) or self._state_bytes != len(snapshot.data):
            self._start(snapshot)
            self._write(snapshot.data)
        os.fsync(self._fd)
        self.close()
        self._temporary.replace(self._path)
        sync_folder(self._path.parent)

    def close(self) -> None:
        """Close the unfinished snapshot, if there is one."""
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)

    def _is_writing(self, source: WriteSnapshotPart | SaveSnapshot) -> bool:
        written = (self._index, self._term)
        return self._fd >= 0 and written == (source.index, source.term)

    def _start(self, source: WriteSnapshotPart | SaveSnapshot) -> None:
        self.close()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self._fd = os.open(self._temporary, flags, 0o644)
        self._index = source.index
        self._term = source.term
        self._state_bytes = 0
        head = SnapshotHead(
            index=source.index, term=source.term, members=source.members
        )
        write_all(self._fd, pack(encode_message(head)))

    def _write(self, data: bytes) -> None:
        for start in range(0, len(data), PART_BYTES):
            write_all(self._fd, pack(data[start : start + PART_BYTES]))
        self._state_bytes += len(data)
        self._unsynced_bytes += len(data)
        if self._unsynced_bytes >= SYNC_BYTES:
            os.fdatasync(self._fd)
            self._unsynced_bytes = 0
