"""Runs a program of the platform whose clock steps and whose storage is bad.

It is started as `pistachiopath.platform` is.  The soak says what is wrong at the
moment in the file that an environment variable names; without the file nothing is.
"""

from __future__ import annotations

import errno
import json
import os
import runpy
import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

STDERR = 2
FILE_VARIABLE = 'SOAK_DISTURBANCE'


@attrs.define(kw_only=True, frozen=True)
class Disturbance:
    """What is wrong: seconds by which the clock is off and a sync takes longer.

    A full storage writes a part of what it is given, and then fails.
    """

    clock_s: float = 0.0
    sync_s: float = 0.0
    is_full: bool = False

    def save(self, path: Path) -> None:
        """Replace the file as a whole."""
        new = path.with_suffix('.new')
        new.write_text(json.dumps(attrs.asdict(self)))
        new.replace(path)

    @classmethod
    def load(cls, path: Path) -> Disturbance:
        """Return what the file says, or that nothing is wrong."""
        try:
            return cls(**json.loads(path.read_text()))
        except FileNotFoundError:
            return cls()


def disturb(path: Path) -> None:
    """Replace what this process uses of the clock and the storage."""
    now, write = time.time, os.write
    time.time = lambda: now() + Disturbance.load(path).clock_s
    os.fsync = _sync_as_stated(os.fsync, path)
    os.fdatasync = _sync_as_stated(os.fdatasync, path)

    def write_as_stated(fd: int, data: bytes) -> int:
        if _is_stored(fd) and Disturbance.load(path).is_full:
            write(fd, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, 'full')
        return write(fd, data)

    os.write = write_as_stated


def _is_stored(fd: int) -> bool:
    """Return whether a descriptor is a file, and not the log."""
    return fd > STDERR and os.path.isfile(f'/proc/self/fd/{fd}')


def _sync_as_stated(sync: Callable[[int], None], path: Path) -> Callable[[int], None]:
    def sync_as_stated(fd: int) -> None:
        stated = Disturbance.load(path)
        time.sleep(stated.sync_s)
        if stated.is_full:
            raise OSError(errno.ENOSPC, 'full')
        sync(fd)

    return sync_as_stated


if __name__ == '__main__':
    disturb(Path(os.environ[FILE_VARIABLE]))
    runpy.run_module('pistachiopath.platform', run_name='__main__', alter_sys=True)
