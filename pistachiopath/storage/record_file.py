"""Records that are worth keeping over a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile
from ..errors.transport import FrameTooLarge, MalformedFrame
from ..transport.codec import decode_message, encode_message
from .atomic_file import read_frames, replace_synced

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ..messages.base import Message


class RecordFile:
    """Replaces a file of messages as a whole.

    What was saved survives a loss of power; a file that can't be read counts
    as an empty one.
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
        """Replace the messages, synced; raises `OSError`."""
        replace_synced(self._path, [encode_message(record) for record in records])
