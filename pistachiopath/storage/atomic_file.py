"""Files of frames that are replaced atomically."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile
from ..transport.frames import HEADER, FrameBuffer, pack

if TYPE_CHECKING:
    from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def replace_synced(path: Path, payloads: list[bytes]) -> None:
    """Replace a file by one with these payloads as frames, and sync it."""
    replace_file(path, b''.join(pack(payload) for payload in payloads))


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file by one with this data, and sync it."""
    temporary = path.with_suffix('.new')
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        write_all(fd, data)
        os.fsync(fd)
    finally:
        os.close(fd)
    temporary.replace(path)
    sync_folder(path.parent)


def read_frames(path: Path) -> list[bytes]:
    """Return the payloads of a file; none if the file doesn't exist.

    Raises `CorruptFile` if the last frame is incomplete, and `MalformedFrame` or
    `FrameTooLarge` if a frame is invalid.
    """
    if not path.exists():
        return []
    buffer = FrameBuffer()
    data = path.read_bytes()
    buffer.feed(data)
    payloads = []
    frame_offset = 0
    while frame_offset < len(data):
        payload = buffer.next()
        if payload is None:
            raise CorruptFile(file=path.name, offset=frame_offset)
        payloads.append(payload)
        frame_offset += HEADER.size + len(payload)
    return payloads


def write_all(fd: int, data: bytes) -> None:
    """Write all bytes to a file descriptor; raises `OSError`."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
