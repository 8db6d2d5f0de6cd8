"""Files that are replaced as a whole."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile
from ..transport.frames import HEADER, FrameBuffer, pack

if TYPE_CHECKING:
    from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync the names in a folder."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def replace_synced(path: Path, payloads: list[bytes]) -> None:
    """Replace a file by one that holds these frames, synced."""
    temporary = path.with_suffix('.new')
    with temporary.open('wb') as file:
        for payload in payloads:
            file.write(pack(payload))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def read_frames(path: Path) -> list[bytes]:
    """Return the frames of a file that was replaced as a whole."""
    if not path.exists():
        return []
    buffer = FrameBuffer()
    data = path.read_bytes()
    buffer.feed(data)
    payloads = []
    used = 0
    while used < len(data):
        payload = buffer.next()
        if payload is None:
            raise CorruptFile(file=path.name, offset=used)
        payloads.append(payload)
        used += HEADER.size + len(payload)
    return payloads
