"""Records that are kept across restarts without being synced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile
from ..errors.transport import FrameTooLarge, MalformedFrame
from ..transport.codec import decode_message, encode_message
from ..transport.frames import pack
from .atomic_file import read_frames

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ..messages.base import Message


class RecordFile:
    """Stores messages in a file that is replaced without a sync.

    The file survives a restart of the process, but may be lost in a power
    failure.  A file with invalid content is treated as empty.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path

    def load(self) -> list[Message]:
        """Return the stored messages; raises `OSError`."""
        try:
            return [decode_message(payload) for payload in read_frames(self._path)]
        except (CorruptFile, MalformedFrame, FrameTooLarge):
            return []

    def save(self, records: Iterable[Message]) -> None:
        """Replace the stored messages; raises `OSError`."""
        temporary = self._path.with_suffix('.new')
        data = b''.join(pack(encode_message(record)) for record in records)
        temporary.write_bytes(data)
        temporary.replace(self._path)
