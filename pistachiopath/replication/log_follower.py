"""Replication on a follower."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.replication import (
    Append,
    AppendPartReply,
    AppendReply,
    Entry,
    SnapshotReply,
)
from .effects import AppendEntries, TruncateFrom
from .part_buffer import PartBuffer

if TYPE_CHECKING:
    from ..messages.replication import AppendPart, InstallSnapshot
    from .replica import Replica


class LogFollower:
    """Adds what a leader sends, records or a snapshot, to the log of its replica.

    It changes the log, the commit index and the snapshot of the replica, and replies
    through it.
    """

    def __init__(self, *, replica: Replica) -> None:
        self._replica = replica
        self._snapshot_parts = PartBuffer()
        self._record_parts = PartBuffer()

    def on_append(self, sender: str, msg: Append, now: float) -> None:
        """Add records that follow the log; refuse others."""
        if self._follows_log(sender, msg, msg.previous_index, now):
            self._append_entries(sender, msg)

    def on_append_part(self, sender: str, msg: AppendPart, now: float) -> None:
        """Keep a part of a record, and add the record once it is whole."""
        previous_index = msg.index - 1
        if not self._follows_log(sender, msg, previous_index, now):
            return
        replica = self._replica
        is_held = replica.log.term_at(msg.index) == msg.entry_term
        if msg.index <= replica.commit or is_held:
            self._reply_append(sender, msg, success=True, match=msg.index)
            return
        replica.commit_up_to(min(msg.commit, previous_index))
        received_bytes = self._record_parts.add(msg)
        if received_bytes < msg.total:
            self._reply_part(sender, msg, received_bytes)
            return
        self._append_entries(sender, self._joined(msg))

    def on_install(self, sender: str, msg: InstallSnapshot, now: float) -> None:
        """Keep a part of a snapshot, and install the snapshot once it is whole."""
        replica = self._replica
        if msg.term < replica.term:
            return
        replica.accept_leader(sender, msg.term, now)
        if msg.index <= replica.commit:
            self._reply_snapshot(sender, msg, msg.total)
            return
        received_bytes = self._snapshot_parts.add(msg)
        if received_bytes >= msg.total:
            replica.install(msg, self._snapshot_parts.take())
        self._reply_snapshot(sender, msg, received_bytes)

    def _follows_log(
        self, sender: str, msg: Append | AppendPart, previous_index: int, now: float
    ) -> bool:
        """Tell whether records that a leader sent follow this log; refuse others."""
        replica = self._replica
        if msg.term < replica.term:
            self._reply_append(sender, msg, success=False, match=0)
            return False
        replica.accept_leader(sender, msg.term, now, commit=msg.commit)
        if previous_index < replica.commit:
            # Committed records always match, so the previous term is not checked.
            # The records that a snapshot covers are skipped.
            return True
        if replica.log.term_at(previous_index) != msg.previous_term:
            hint = min(replica.log.last_index, previous_index - 1)
            self._reply_append(sender, msg, success=False, match=hint)
            return False
        return True

    def _joined(self, msg: AppendPart) -> Append:
        """Return the message with the whole record whose last part has arrived."""
        entry = Entry(
            index=msg.index,
            term=msg.entry_term,
            kind=msg.kind,
            time_ms=msg.time_ms,
            command=self._record_parts.take(),
        )
        return Append(
            to_member=msg.to_member,
            term=msg.term,
            round=msg.round,
            previous_index=msg.index - 1,
            previous_term=msg.previous_term,
            commit=msg.commit,
            entries=(entry,),
        )

    def _append_entries(self, sender: str, msg: Append) -> None:
        replica = self._replica
        added = tuple(entry for entry in msg.entries if self._add(entry))
        if added:
            replica.add_effect(AppendEntries(entries=added))
        match = msg.previous_index + len(msg.entries)
        replica.commit_up_to(min(msg.commit, match))
        self._reply_append(sender, msg, success=True, match=match)

    def _add(self, entry: Entry) -> bool:
        """Add a record that the log lacks, instead of others from its index on."""
        replica = self._replica
        if entry.index <= replica.commit:
            return False
        term = replica.log.term_at(entry.index)
        if term == entry.term:
            return False
        if term is not None:
            replica.log.truncate_from(entry.index)
            replica.add_effect(TruncateFrom(index=entry.index))
        replica.log.append(entry)
        return True

    def _reply_append(
        self, to: str, msg: Append | AppendPart, *, success: bool, match: int
    ) -> None:
        reply = AppendReply(
            member=self._replica.member,
            term=self._replica.term,
            round=msg.round,
            success=success,
            match=match,
        )
        self._replica.send(to, reply)

    def _reply_part(self, to: str, msg: AppendPart, received_bytes: int) -> None:
        reply = AppendPartReply(
            member=self._replica.member,
            term=self._replica.term,
            round=msg.round,
            index=msg.index,
            offset=received_bytes,
        )
        self._replica.send(to, reply)

    def _reply_snapshot(
        self, to: str, msg: InstallSnapshot, received_bytes: int
    ) -> None:
        reply = SnapshotReply(
            member=self._replica.member,
            term=self._replica.term,
            round=msg.round,
            index=msg.index,
            offset=received_bytes,
        )
        self._replica.send(to, reply)
