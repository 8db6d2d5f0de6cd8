"""Records that are worth keeping over a restart, though not durable."""

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
    """Replaces a file of messages without syncing it.

    What it holds survives the end of the process, and a loss of power only by
    chance; a file that can't be read counts as an empty one.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path

    def load(self) -> list[Message]:
        """Return the messages; raises `OSError`."""
        try:
            return [decode_message(payload) for payload in read_frames(self._path)]
        except (CorruptFile, MalformedFrame, FrameTooLarge):
            return []

    def save(self, records: Iterable[Message]) -> None:
        """Replace the messages; raises `OSError`."""
        temporary = self._path.with_suffix('.new')
        data = b''.join(pack(encode_message(record)) for record in records)
        temporary.write_bytes(data)
        temporary.replace(self._path)
