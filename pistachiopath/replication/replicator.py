"""Replication by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.replication import Append, InstallSnapshot
from .progress import Progress

if TYPE_CHECKING:
    from ..messages.replication import AppendReply, Member, SnapshotReply
    from .replica import Replica
    from .timing import Timing

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
            self._step_back(peer, progress, reply.match, now)
            return
        progress.match = max(progress.match, reply.match)
        progress.next_index = max(progress.next_index, progress.match + 1)
        if progress.match >= self._replica.log.base_index:
            progress.is_sending_snapshot = False
        if progress.next_index <= self._replica.log.last_index:
            self._replicate(peer, now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Update how much of a snapshot a follower has and continue sending."""
        peer = self._peer(reply)
        if peer is None:
            return
        progress = self._progress[peer.member]
        progress.last_reply_at = now
        if (
            reply.index != self._replica.log.base_index
            or not progress.is_sending_snapshot
        ):
            progress.is_sending_snapshot = False
            return
        progress.offset = reply.offset
        if reply.offset < len(self._replica.snapshot):
            self._send_snapshot(peer, progress, now, resend=True)
            return
        progress.is_sending_snapshot = False
        progress.match = max(progress.match, reply.index)
        progress.next_index = progress.match + 1
        self._replicate(peer, now)

    def send_due(self, now: float) -> None:
        """Send heartbeats that are due, with the records that are not sent yet."""
        for peer in self._replica.others():
            if now - self._progress[peer.member].sent_at >= self._timing.heartbeat_s:
                self._replicate(peer, now, resend=True)

    def replicate_all(self, now: float) -> None:
        """Send each follower the records that were not sent to it yet."""
        for peer in self._replica.others():
            self._replicate(peer, now)

    def _replicate(self, peer: Member, now: float, *, resend: bool = False) -> None:
        progress = self._progress[peer.member]
        if progress.next_index <= self._replica.log.base_index:
            self._send_snapshot(peer, progress, now, resend=resend)
            return
        first = progress.next_index
        entries = self._replica.log.slice(
            first, self._timing.max_entries, MAX_APPEND_BYTES
        )
        if not entries and not resend and progress.round:
            return
        progress.round += 1
        progress.sent_at = now
        progress.next_index = first + len(entries)
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

    def _send_snapshot(
        self, peer: Member, progress: Progress, now: float, *, resend: bool
    ) -> None:
        if progress.is_sending_snapshot and not resend:
            return
        if not progress.is_sending_snapshot:
            progress.offset = 0
        progress.is_sending_snapshot = True
        progress.round += 1
        progress.sent_at = now
        start = progress.offset
        end = start + self._timing.snapshot_chunk_bytes
        data = bytes(self._replica.snapshot[start:end])
        self._replica.send(
            peer.address,
            InstallSnapshot(
                to_member=peer.member,
                term=self._replica.term,
                round=progress.round,
                index=self._replica.log.base_index,
                index_term=self._replica.log.base_term,
                members=self._replica.log.base_members,
                offset=start,
                total=len(self._replica.snapshot),
                data=data,
            ),
        )

    def _step_back(
        self, peer: Member, progress: Progress, match: int, now: float
    ) -> None:
        if match < progress.match:
            # Only a disk that lost synced records causes this.  The next
            # heartbeat retries.
            return
        progress.next_index = match + 1
        self._replicate(peer, now)

    def _match(self, member: str) -> int:
        progress = self._progress.get(member)
        return progress.match if progress else 0

    def _peer(self, reply: AppendReply | SnapshotReply) -> Member | None:
        for peer in self._replica.others():
            if peer.member == reply.member:
                return peer
        return None
