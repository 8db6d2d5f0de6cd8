"""The data folder of a control replica: vote, log and snapshot files."""

from __future__ import annotations

import os
import uuid
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile, StorageFailed
from ..errors.transport import FrameTooLarge, MalformedFrame
from ..messages.replication import Entry, Member
from ..messages.storage import SnapshotHead, StoredVote
from ..replication.effects import (
    AppendEntries,
    SaveSnapshot,
    SaveVote,
    TruncateFrom,
    WriteSnapshotPart,
)
from ..replication.persisted import Persisted
from ..transport.codec import decode_message, encode_message
from ..transport.frames import HEADER, FrameBuffer, pack
from .atomic_file import read_frames, replace_synced, sync_folder, write_all
from .snapshot_file import SnapshotFile

if TYPE_CHECKING:
    from pathlib import Path

    from ..replication.effects import StorageEffect


class DataFolder:
    """Durable state of one replica.

    The file `member` holds the identity of the folder, `vote` the term and vote,
    `snapshot` the last snapshot and `log` the records after it.  A log record is
    durable only after `sync`.  Every disk failure raises `StorageFailed`.  After
    that this object must not be used any more.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._log_path = path / 'log'
        self._offsets: list[int] = []
        self._first_index = 1
        self._size = 0
        self._dirty = False
        self._fd = -1
        self._snapshot = SnapshotFile(path=path / 'snapshot')

    def load(self) -> Persisted:
        """Load the stored state, dropping a torn record at the end of the log.

        Raises `StorageFailed` or `CorruptFile`.
        """
        try:
            return self._load()
        except OSError as exc:
            raise StorageFailed(operation='load', reason=str(exc.errno)) from exc
        except (MalformedFrame, FrameTooLarge) as exc:
            raise CorruptFile(file=self._path.name, offset=0) from exc

    def write(self, effect: StorageEffect) -> None:
        """Carry out a storage effect, which is durable after the next `sync`."""
        try:
            match effect:
                case AppendEntries():
                    self._append(effect.entries)
                case TruncateFrom():
                    self._truncate_from(effect.index)
                case SaveVote():
                    self._save_vote(effect)
                case WriteSnapshotPart():
                    self._snapshot.write_part(effect)
                case SaveSnapshot():
                    self._snapshot.save(effect)
                    self._drop_through(effect.index)
        except OSError as exc:
            name = type(effect).__name__
            raise StorageFailed(operation=name, reason=str(exc.errno)) from exc

    def sync(self) -> bool:
        """Make log writes durable and return whether there were any."""
        if not self._dirty:
            return False
        try:
            os.fdatasync(self._fd)
        except OSError as exc:
            raise StorageFailed(operation='sync', reason=str(exc.errno)) from exc
        self._dirty = False
        return True

    def close(self) -> None:
        """Close the log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _load(self) -> Persisted:
        self._path.mkdir(parents=True, exist_ok=True)
        member = self._load_member()
        vote = [decode_message(p) for p in read_frames(self._path / 'vote')]
        head, data = self._load_snapshot()
        entries = self._open_log(head.index)
        return Persisted(
            member=member,
            term=vote[0].term if vote else 0,
            voted_for=vote[0].voted_for if vote else '',
            snapshot_index=head.index,
            snapshot_term=head.term,
            snapshot_members=head.members,
            snapshot=data,
            entries=entries,
        )

    def _load_member(self) -> str:
        path = self._path / 'member'
        frames = read_frames(path)
        if frames:
            return decode_message(frames[0]).member
        member = Member(member=uuid.uuid4().hex, address='')
        replace_synced(path, [encode_message(member)])
        return member.member

    def _load_snapshot(self) -> tuple[SnapshotHead, bytes]:
        frames = read_frames(self._path / 'snapshot')
        if not frames:
            return SnapshotHead(index=0, term=0, members=()), b''
        return decode_message(frames[0]), b''.join(frames[1:])

    def _open_log(self, snapshot_index: int) -> tuple[Entry, ...]:
        self._fd = os.open(self._log_path, os.O_RDWR | os.O_CREAT, 0o600)
        sync_folder(self._path)
        data = self._log_path.read_bytes()
        entries = self._parse_log(data)
        if self._size < len(data):
            os.ftruncate(self._fd, self._size)
            os.fsync(self._fd)
        os.lseek(self._fd, self._size, os.SEEK_SET)
        return tuple(e for e in entries if e.index > snapshot_index)

    def _parse_log(self, data: bytes) -> list[Entry]:
        buffer = FrameBuffer()
        buffer.feed(data)
        entries: list[Entry] = []
        while True:
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
        self._first_index = entries[0].index if entries else 0
        return entries

    def _check_torn(self, data: bytes) -> None:
        """Raise `CorruptFile` if nonzero data follows the invalid frame."""
        size, _ = HEADER.unpack_from(data, self._size)
        end = self._size + HEADER.size + size
        if end < len(data) and any(data[end:]):
            raise CorruptFile(file='log', offset=self._size)

    def _append(self, entries: tuple[Entry, ...]) -> None:
        if not self._offsets:
            self._first_index = entries[0].index
        frames = []
        size = self._size
        for entry in entries:
            frame = pack(encode_message(entry))
            self._offsets.append(size)
            size += len(frame)
            frames.append(frame)
        write_all(self._fd, b''.join(frames))
        self._size = size
        self._dirty = True

    def _truncate_from(self, index: int) -> None:
        position = index - self._first_index
        if not 0 <= position < len(self._offsets):
            return
        self._size = self._offsets[position]
        del self._offsets[position:]
        os.ftruncate(self._fd, self._size)
        os.lseek(self._fd, self._size, os.SEEK_SET)
        self._dirty = True

    def _save_vote(self, effect: SaveVote) -> None:
        vote = StoredVote(term=effect.term, voted_for=effect.voted_for)
        replace_synced(self._path / 'vote', [encode_message(vote)])

    def _drop_through(self, index: int) -> None:
        """Rewrite the log without the records up to `index`, inclusive.

        A snapshot covers these records.
        """
        kept_position = index + 1 - self._first_index
        start = self._size
        if 0 <= kept_position < len(self._offsets):
            start = self._offsets[kept_position]
        kept_data = os.pread(self._fd, self._size - start, start)
        temporary = self._path / 'log.new'
        with temporary.open('wb') as file:
            file.write(kept_data)
            file.flush()
            os.fsync(file.fileno())
        os.close(self._fd)
        temporary.replace(self._log_path)
        sync_folder(self._path)
        self._fd = os.open(self._log_path, os.O_RDWR)
        os.lseek(self._fd, len(kept_data), os.SEEK_SET)
        kept_offsets = self._offsets[kept_position:] if start < self._size else []
        self._offsets = [offset - start for offset in kept_offsets]
        self._first_index = index + 1
        self._size = len(kept_data)
