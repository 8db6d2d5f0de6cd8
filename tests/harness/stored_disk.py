"""A data folder on a disk that fills up, kills its process and loses unsynced bytes."""

from __future__ import annotations

import contextlib
import errno
import os
import shutil
import stat
from unittest import mock

from pistachiopath.replication.effects import SaveSnapshot, TruncateFrom
from pistachiopath.storage.data_folder import DataFolder


class Killed(BaseException):
    """The process ends at this operation on a file."""


class StoredDisk:
    """Has the methods of `Disk`, but stores the effects in files.

    A full disk takes the bytes for which there is room and refuses the rest, as file
    systems do.  With `refuses_sync` it has taken bytes for which there is none: a
    refused sync drops them, and a later one does not store them either, though they
    can be read until the power is lost.  Nothing is synced but in the model: `crash`
    reverts each file to what was.
    """

    def __init__(self, *, path):
        self.path = path
        self.refuses_sync = False
        self.operations_left = None
        self._capacity = None
        self._synced = {}
        self._unsynced = {}
        self._folder = None
        self._has_removed = False

    # What the disk does to its process

    def fill(self, room):
        """Leave so many bytes of room."""
        self._capacity = self._used() + room

    def free(self):
        self._capacity = None
        self.refuses_sync = False

    @property
    def is_full(self):
        return self._capacity is not None or self.refuses_sync

    def close(self):
        """End the process; what it has written stays, synced or not."""
        self.operations_left = None
        if self._folder is not None:
            self._folder.close()
            self._folder = None

    def crash(self):
        """Lose power."""
        self.close()
        for file in self.path.iterdir():
            file.write_bytes(self._synced.get(file.stat().st_ino, b''))

    # What the node does with it

    def load(self):
        self.close()
        with _at(self):
            self._folder = DataFolder(path=self.path)
            return self._folder.load()

    def write(self, effect):
        self._has_removed |= isinstance(effect, (TruncateFrom, SaveSnapshot))
        with _at(self):
            self._folder.write(effect)

    def sync(self):
        with _at(self):
            self._folder.sync()

    def check_holds(self, log):
        """Fail unless a restart would load the same records as are in memory.

        It is checked after effects that remove any.
        """
        if not self._has_removed:
            return
        self._has_removed = False
        copy = self.path.with_name(f'{self.path.name}-copy')
        shutil.copytree(self.path, copy)
        folder = DataFolder(path=copy)
        state = folder.load()
        folder.close()
        shutil.rmtree(copy)
        assert state.snapshot_index == log.base_index
        held = [
            (i, log.term_at(i)) for i in range(log.base_index + 1, log.last_index + 1)
        ]
        assert [(e.index, e.term) for e in state.entries] == held

    # Operations on files

    def _used(self):
        return sum(file.stat().st_size for file in self.path.iterdir())

    def on_operation(self):
        if self.operations_left is None:
            return
        if not self.operations_left:
            raise Killed
        self.operations_left -= 1

    def accepted(self, fd, offset, data):
        """Return the bytes that there is room for; raises `OSError` without any.

        Those that replace others need no room.
        """
        if self._capacity is None:
            return data
        replaced = max(0, os.fstat(fd).st_size - offset)
        room = replaced + max(0, self._capacity - self._used())
        if data and not room:
            raise OSError(errno.ENOSPC, 'full')
        return data[:room]

    def on_written(self, fd, offset, data):
        changes = self._unsynced.setdefault(os.fstat(fd).st_ino, [])
        changes.append((offset, data))

    def on_sync(self, fd):
        status = os.fstat(fd)
        changes = self._unsynced.pop(status.st_ino, [])
        if self.refuses_sync:
            raise OSError(errno.ENOSPC, 'full')
        if not stat.S_ISREG(status.st_mode):
            return
        stored = bytearray(self._synced.get(status.st_ino, b''))
        stored += bytes(max(0, status.st_size - len(stored)))
        for offset, data in changes:
            stored[offset : offset + len(data)] = data
        self._synced[status.st_ino] = bytes(stored[: status.st_size])

    def on_created(self, fd):
        inode = os.fstat(fd).st_ino
        self._synced[inode] = b''
        self._unsynced.pop(inode, None)


_active = [None]


@contextlib.contextmanager
def _at(disk):
    _active[0] = disk
    try:
        yield
    finally:
        _active[0] = None


@contextlib.contextmanager
def stored_disks():
    """Let the operations on files within a `StoredDisk` take place on it."""
    real_open, real_write = os.open, os.write

    def opened(path, flags, *args, **kwargs):
        disk = _active[0]
        if disk is None:
            return real_open(path, flags, *args, **kwargs)
        is_new = flags & os.O_TRUNC or not os.path.exists(path)
        fd = real_open(path, flags, *args, **kwargs)
        if is_new:
            disk.on_created(fd)
        return fd

    def written(fd, data):
        disk = _active[0]
        if disk is None:
            return real_write(fd, data)
        disk.on_operation()
        offset = os.lseek(fd, 0, os.SEEK_CUR)
        size = real_write(fd, disk.accepted(fd, offset, data))
        disk.on_written(fd, offset, bytes(data[:size]))
        return size

    def synced(fd):
        disk = _active[0]
        if disk is not None:
            disk.on_operation()
            disk.on_sync(fd)

    def counted(operation):
        def run(*args, **kwargs):
            if _active[0] is not None:
                _active[0].on_operation()
            return operation(*args, **kwargs)

        return run

    with (
        mock.patch.object(os, 'open', opened),
        mock.patch.object(os, 'write', written),
        mock.patch.object(os, 'fsync', synced),
        mock.patch.object(os, 'fdatasync', synced),
        mock.patch.object(os, 'ftruncate', counted(os.ftruncate)),
        mock.patch.object(os, 'replace', counted(os.replace)),
    ):
        yield
