"""The data folder of a control replica: vote, log and snapshot files."""

from __future__ import annotations

import logging
import uuid
from typing import TYPE_CHECKING

from ..errors.storage import CorruptFile, StorageFailed
from ..errors.transport import FrameTooLarge, MalformedFrame
from ..messages.replication import Member
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
from .atomic_file import read_frames, replace_synced
from .log_file import LogFile
from .snapshot_file import SnapshotFile

if TYPE_CHECKING:
    from pathlib import Path

    from ..replication.effects import StorageEffect

logger = logging.getLogger(__name__)


class DataFolder:
    """Durable state of one replica.

    The file `member` holds the identity of the folder, `vote` the term and vote,
    `snapshot` the last snapshot and `log` the records after it.  A log record is
    durable only after `sync`.  Every disk failure raises `StorageFailed`.  After
    that this object must not be used any more.
    """

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._log = LogFile(path=path / 'log')
        self._snapshot = SnapshotFile(path=path / 'snapshot')

    def load(self) -> Persisted:
        """Load the stored state, dropping a torn record at the end of the log.

        Raises `StorageFailed` or `CorruptFile`; the folder is closed then.
        """
        try:
            return self._load()
        except OSError as exc:
            self.close()
            raise StorageFailed(operation='load', reason=str(exc.errno)) from exc
        except (MalformedFrame, FrameTooLarge) as exc:
            self.close()
            raise CorruptFile(file=self._path.name, offset=0) from exc
        except CorruptFile:
            self.close()
            raise

    def write(self, effect: StorageEffect) -> None:
        """Carry out a storage effect, which is durable after the next `sync`."""
        try:
            match effect:
                case AppendEntries():
                    self._log.append(effect.entries)
                case TruncateFrom():
                    self._log.truncate_from(effect.index)
                case SaveVote():
                    self._save_vote(effect)
                case WriteSnapshotPart():
                    self._snapshot.write_part(effect)
                case SaveSnapshot():
                    self._save_snapshot(effect)
        except OSError as exc:
            name = type(effect).__name__
            raise StorageFailed(operation=name, reason=str(exc.errno)) from exc

    def sync(self) -> bool:
        """Make log writes durable and return whether there were any."""
        try:
            return self._log.sync()
        except OSError as exc:
            raise StorageFailed(operation='sync', reason=str(exc.errno)) from exc

    def close(self) -> None:
        """Close the files."""
        self._log.close()
        self._snapshot.close()

    def _load(self) -> Persisted:
        self._path.mkdir(parents=True, exist_ok=True)
        self._remove_unfinished()
        member = self._load_member()
        vote = [decode_message(p) for p in read_frames(self._path / 'vote')]
        head, data = self._load_snapshot()
        entries = self._log.open(head)
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

    def _remove_unfinished(self) -> None:
        """Remove files that an interrupted write left; they take up space."""
        for name in ('member', 'vote', 'snapshot', 'log'):
            path = self._path / f'{name}.new'
            try:
                path.unlink(missing_ok=True)
            except OSError as exc:
                logger.warning(
                    'unfinished_file_kept',
                    extra={'file': path.name, 'error': repr(exc)},
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

    def _save_vote(self, effect: SaveVote) -> None:
        vote = StoredVote(term=effect.term, voted_for=effect.voted_for)
        replace_synced(self._path / 'vote', [encode_message(vote)])

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        """Store a snapshot, then delete the records that it covers or replaces.

        Between the two, the file may hold records that don't follow the snapshot.
        """
        self._log.flush()
        self._snapshot.save(effect)
        if effect.replaces_log:
            self._log.clear(effect.index + 1)
        else:
            self._log.drop_through(effect.index)
