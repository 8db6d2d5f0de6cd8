"""Replication by the leader."""

from __future__ import annotations

import logging
from itertools import takewhile
from typing import TYPE_CHECKING

from ..messages.replication import Append, AppendPart, InstallSnapshot
from .progress import Progress, Transfer

if TYPE_CHECKING:
    from ..messages.replication import (
        AppendPartReply,
        AppendReply,
        Entry,
        Member,
        SnapshotReply,
    )
    from .replica import Replica
    from .timing import Timing

logger = logging.getLogger(__name__)

# Bounds a message with several records, which has to fit into a frame.
MAX_APPEND_BYTES = 1024 * 1024


class Replicator:
    """Sends records and snapshots to followers and tracks their progress.

    It reads the term, commit index, log and snapshot of its replica and sends
    through it.  Followers are identified by their data folders.
    """

    def __init__(self, *, replica: Replica, timing: Timing) -> None:
        self._replica = replica
        self._timing = timing
        self._progress: dict[str, Progress] = {}

    def reset(self) -> None:
        """Clear the progress of all followers."""
        self._progress = {}

    def update_members(self, now: float) -> None:
        """Track the followers in the newest membership record."""
        previous = self._progress
        next_index = self._replica.log.last_index + 1
        self._progress = {
            peer.member: previous.get(peer.member)
            or Progress(next_index=next_index, last_reply_at=now)
            for peer in self._replica.others()
        }

    def progress_of(self, member: str) -> Progress | None:
        """Return a follower's progress, or None if it is unknown."""
        return self._progress.get(member)

    def replied_since(self, since: float) -> set[str]:
        """Return the followers whose last reply came after a time in seconds."""
        return {m for m, p in self._progress.items() if p.last_reply_at > since}

    def majority_match(self, own_match: int) -> int:
        """Return the last index that a majority of voters has stored."""
        matches = sorted(
            own_match if m.member == self._replica.member else self._match(m.member)
            for m in self._replica.members
            if m.voter
        )
        return matches[(len(matches) - 1) // 2]

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Update a follower's progress and send it the next records."""
        peer = self._peer(reply)
        if peer is None:
            return
        progress = self._progress[peer.member]
        progress.last_reply_at = now
        if not reply.success:
            self._step_back(peer, progress, reply, now)
            return
        progress.confirm(reply.match)
        if progress.next_index <= self._replica.log.last_index:
            self._replicate(peer, now)

    def on_part_reply(self, reply: SnapshotReply | AppendPartReply, now: float) -> None:
        """Send the next part of what a follower receives.

        A reply to a message that was sent before the last part does not tell
        whether that part arrived.
        """
        peer = self._peer(reply)
        if peer is None:
            return
        progress = self._progress[peer.member]
        progress.last_reply_at = now
        transfer = progress.transfer
        if transfer is None or reply.index != transfer.index:
            return
        if not self._is_current(progress, transfer) or reply.round < transfer.round:
            return
        if transfer.is_snapshot and reply.offset >= len(self._replica.snapshot):
            progress.transfer = None
            progress.confirm(reply.index)
            self._replicate(peer, now)
            return
        self._send_part(peer, progress, now, offset=reply.offset)

    def send_due(self, now: float) -> None:
        """Send heartbeats that are due, with the records that are not sent yet."""
        for peer in self._replica.others():
            if now - self._progress[peer.member].sent_at >= self._timing.heartbeat_s:
                self._replicate(peer, now, heartbeat=True)

    def replicate_all(self, now: float) -> None:
        """Send each follower the records that were not sent to it yet."""
        for peer in self._replica.others():
            self._replicate(peer, now)

    def _replicate(self, peer: Member, now: float, *, heartbeat: bool = False) -> None:
        """Send the next records or part, or a heartbeat if there is nothing to send."""
        progress = self._progress[peer.member]
        transfer = progress.transfer
        if transfer is not None and self._is_current(progress, transfer):
            if heartbeat:
                self._send_part(peer, progress, now)
            return
        progress.transfer = self._next_transfer(progress)
        if progress.transfer is not None:
            self._send_part(peer, progress, now, offset=0)
            return
        entries = self._next_entries(progress)
        if entries or heartbeat or not progress.round:
            self._send_entries(peer, progress, entries, now)

    def _next_transfer(self, progress: Progress) -> Transfer | None:
        """Return the transfer of what comes next, if it is to be sent in parts."""
        log = self._replica.log
        if progress.next_index <= log.base_index:
            return Transfer(index=log.base_index, is_snapshot=True)
        if self._is_large(log.get(progress.next_index)):
            return Transfer(index=progress.next_index, is_snapshot=False)
        return None

    def _is_current(self, progress: Progress, transfer: Transfer) -> bool:
        """Tell whether a follower still needs what is being sent in parts."""
        base_index = self._replica.log.base_index
        if transfer.is_snapshot:
            return transfer.index == base_index and progress.next_index <= base_index
        return transfer.index == progress.next_index > base_index

    def _is_large(self, entry: Entry | None) -> bool:
        return entry is not None and len(entry.command) > self._timing.part_bytes

    def _next_entries(self, progress: Progress) -> tuple[Entry, ...]:
        """Return the records to send now, within the window."""
        free_bytes = self._timing.window_bytes - progress.window.bytes
        if free_bytes <= 0:
            return ()
        entries = self._replica.log.slice(
            progress.next_index,
            self._timing.max_entries,
            min(free_bytes, MAX_APPEND_BYTES),
        )
        return tuple(takewhile(lambda entry: not self._is_large(entry), entries))

    def _send_entries(
        self, peer: Member, progress: Progress, entries: tuple[Entry, ...], now: float
    ) -> None:
        first = progress.next_index
        progress.round += 1
        progress.sent_at = now
        if entries:
            progress.next_index = first + len(entries)
            size = sum(len(entry.command) for entry in entries)
            progress.window.add(entries[-1].index, size)
        self._replica.send(
            peer.address,
            Append(
                to_member=peer.member,
                term=self._replica.term,
                round=progress.round,
                previous_index=first - 1,
                previous_term=self._replica.log.term_at(first - 1) or 0,
                commit=self._replica.commit,
                entries=entries,
            ),
        )

    def _send_part(
        self, peer: Member, progress: Progress, now: float, *, offset: int | None = None
    ) -> None:
        """Send the part of the transfer at an offset, or a heartbeat without data."""
        transfer = progress.transfer
        progress.round += 1
        progress.sent_at = now
        if offset is not None:
            transfer.round = progress.round
        build = self._snapshot_part if transfer.is_snapshot else self._record_part
        self._replica.send(peer.address, build(peer, progress, offset))

    def _snapshot_part(
        self, peer: Member, progress: Progress, offset: int | None
    ) -> InstallSnapshot:
        snapshot = self._replica.snapshot
        log = self._replica.log
        return InstallSnapshot(
            to_member=peer.member,
            term=self._replica.term,
            round=progress.round,
            index=log.base_index,
            index_term=log.base_term,
            members=log.base_members,
            offset=offset or 0,
            total=len(snapshot),
            data=self._part(snapshot, offset),
        )

    def _record_part(
        self, peer: Member, progress: Progress, offset: int | None
    ) -> AppendPart:
        entry = self._replica.log.get(progress.transfer.index)
        return AppendPart(
            to_member=peer.member,
            term=self._replica.term,
            round=progress.round,
            previous_term=self._replica.log.term_at(entry.index - 1) or 0,
            commit=self._replica.commit,
            index=entry.index,
            entry_term=entry.term,
            kind=entry.kind,
            time_ms=entry.time_ms,
            offset=offset or 0,
            total=len(entry.command),
            data=self._part(entry.command, offset),
        )

    def _part(self, data: bytes | bytearray, offset: int | None) -> bytes:
        if offset is None:
            return b''
        return bytes(data[offset : offset + self._timing.part_bytes])

    def _step_back(
        self, peer: Member, progress: Progress, reply: AppendReply, now: float
    ) -> None:
        """Send again from where a follower's log ends.

        All messages after a lost one are refused, and only the first refusal counts.
        A follower that refuses what it has confirmed has lost records: it counts
        for none of them until it has them again.
        """
        if reply.round <= progress.restart_round:
            return
        if reply.match < progress.match:
            logger.warning(
                'follower_lost_records',
                extra={
                    'member': peer.member,
                    'address': peer.address,
                    'confirmed': progress.match,
                    'match': reply.match,
                },
            )
            progress.match = reply.match
        progress.restart(reply.match + 1)
        self._replicate(peer, now)

    def _match(self, member: str) -> int:
        progress = self._progress.get(member)
        return progress.match if progress else 0

    def _peer(
        self, reply: AppendReply | SnapshotReply | AppendPartReply
    ) -> Member | None:
        for peer in self._replica.others():
            if peer.member == reply.member:
                return peer
        return None
