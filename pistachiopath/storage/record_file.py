"""Records that are kept across restarts without being synced."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile
from ..errors.transport import FrameTooLarge, MalformedFrame, Unencodable
from ..transport.codec import decode_message, encode_message
from ..transport.frames import pack
from .atomic_file import read_frames

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ..messages.base import Message


logger = logging.getLogger(__name__)


class RecordFile:
    """Stores messages in a file that is replaced without a sync.

    The file survives a restart of the process, but may be lost in a power
    failure.  A file whose frames are damaged is treated as empty.  A single
    record that can't be encoded or decoded is left out.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path

    def load(self) -> list[Message]:
        """Return the stored messages; raises `OSError`."""
        try:
            payloads = read_frames(self._path)
        except (CorruptFile, MalformedFrame, FrameTooLarge) as exc:
            logger.warning(
                'record_file_damaged',
                extra={'file': self._path.name, 'error': repr(exc)},
            )
            return []
        return self._decode(payloads)

    def save(self, records: Iterable[Message]) -> None:
        """Replace the stored messages; raises `OSError`."""
        temporary = self._path.with_suffix('.new')
        temporary.write_bytes(b''.join(self._encode(records)))
        temporary.replace(self._path)

    def _decode(self, payloads: list[bytes]) -> list[Message]:
        records = []
        errors = []
        for payload in payloads:
            try:
                records.append(decode_message(payload))
            except MalformedFrame as exc:
                errors.append(exc)
        self._log_left_out('loaded', errors)
        return records

    def _encode(self, records: Iterable[Message]) -> list[bytes]:
        frames = []
        errors = []
        for record in records:
            try:
                frames.append(pack(encode_message(record)))
            except (Unencodable, FrameTooLarge) as exc:
                errors.append(exc)
        self._log_left_out('saved', errors)
        return frames

    def _log_left_out(self, action: str, errors: list[Exception]) -> None:
        if not errors:
            return
        logger.warning(
            'records_left_out',
            extra={
                'file': self._path.name,
                'action': action,
                'number': len(errors),
                'first': repr(errors[0]),
            },
        )
