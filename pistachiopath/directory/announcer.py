"""Announcements that a control node merges and sends to its followers."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.directory import Announcements, EstablishedVersion, News
from ..util.listening_span import ListeningSpan
from ..util.plain_text import shortened
from .content_transfers import ContentTransfers
from .directory import GONE_RETENTION_S, Directory
from .follower import MAX_ASKED, Follower
from .heard_lifetimes import HeardLifetimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.directory import Follow, ReplicaRecord
    from ..messages.rollouts import RolloutNotice
    from ..streams.service_version import ServiceVersion

logger = logging.getLogger(__name__)

FOLLOWER_RETENTION_S = 20.0
CONTROL_RETENTION_S = 20.0
# A node that stands still for less is sent all the same, and reads it afterwards.
STANDSTILL_S = 1.0


class Announcer:
    """Merges announcements of replicas and sends changes to followers.

    Each announcement received here is forwarded to the other control nodes.
    Followers get only those that change a replica's record in more than its
    sequence number and warm-up time.  `feed` identifies this lifetime's numbering
    of changes.  `is_first_start` means
    that the system starts for the first time, so that no replica has served before.
    Methods return effects.  `now` is a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        feed: int,
        silent_after_s: float,
        now: float,
        is_first_start: bool = False,
    ) -> None:
        self.directory = Directory()
        self.version = 0
        self.content = b''
        self._address = address
        self._feed = feed
        self._silent_after_s = silent_after_s
        self._started_at = now
        self._is_first_start = is_first_start
        self._has_stored_records = False
        self._followers: dict[str, Follower] = {}
        self._transfers = ContentTransfers(followers=self._followers)
        self._controls: dict[str, float] = {}
        self._members: tuple[str, ...] = ()
        self._last_announced_at: dict[str, float] = {}
        self._heard = HeardLifetimes()
        self._listening = ListeningSpan(standstill_s=STANDSTILL_S, since=now)
        # Set where other control nodes are followed.
        self.is_established: Callable[[ServiceVersion, float], bool] = (
            lambda version, now: False
        )
        # Set where rollouts are in force.
        self.rollouts: Callable[[float], tuple[RolloutNotice, ...]] = lambda now: ()

    def controls(self, now: float) -> tuple[str, ...]:
        """Return the control nodes seen within `CONTROL_RETENTION_S`.

        This node comes first.
        """
        others = [
            a for a, at in self._controls.items() if now - at < CONTROL_RETENTION_S
        ]
        return (self._address, *sorted(others))

    def entries(self, now: float) -> int:
        """Return how many entries followed within `FOLLOWER_RETENTION_S`."""
        return sum(
            follower.is_entry and now - follower.last_follow_at < FOLLOWER_RETENTION_S
            for follower in self._followers.values()
        )

    def control_seen(self, address: str, now: float) -> None:
        """Record that another control node sent a message."""
        self._controls[address] = now

    def set_members(self, addresses: tuple[str, ...]) -> None:
        """Set the other control nodes that the replicated log names."""
        self._members = addresses

    def announce(
        self, record: ReplicaRecord, now: float, *, sent_after: float = -math.inf
    ) -> list[Send]:
        """Merge an announcement of a replica and forward it.

        It did not arrive before `sent_after`.
        """
        self._heard.heard(record, sent_after, now)
        return self._merge((record,), now, forward=True)

    def depart(
        self,
        replica: str,
        now: float,
        *,
        born_ms: int = 0,
        sent_after: float = -math.inf,
    ) -> list[Send]:
        """Mark a replica as gone and forward its record.

        `born_ms` is the start of the lifetime that ends, 0 if it is not known.  Its
        call did not arrive before `sent_after`.
        """
        self._heard.left(replica, born_ms, sent_after)
        previous = self.directory.get(replica)
        record = self.directory.depart(replica, now, born_ms=born_ms)
        if record is None or record == previous:
            return []
        return self._forward((record,), now) + self._push(now)

    def merge_announcements(self, body: Announcements, now: float) -> list[Send]:
        """Merge announcements made at another control node, without forwarding."""
        return self._merge(body.records, now, forward=False)

    def load(self, records: tuple[ReplicaRecord, ...], now: float) -> None:
        """Merge the records that were stored before a restart."""
        self._has_stored_records = bool(records)
        self._merge(records, now, forward=False)

    def _directory_age_s(self, now: float) -> float:
        """Return for how long all replicas that announced themselves are known.

        At the first start of the system there were none before.  What was stored
        before a restart goes back for the retention of gone replicas; replicas that
        appeared just before it have announced themselves again once silent ones are
        known.
        """
        up_s = now - self._started_at
        has_heard = self._has_stored_records and up_s >= self._silent_after_s
        if self._is_first_start or has_heard:
            return up_s + GONE_RETENTION_S
        return up_s

    def publish(self, version: int, content: bytes, now: float) -> list[Send]:
        """Send a committed configuration to the followers if it is newer."""
        if version <= self.version:
            return []
        self.version = version
        self.content = content
        return self._push(now)

    def push(self, now: float) -> list[Send]:
        """Send the followers what is in force now."""
        return self._push(now)

    def follow(
        self, sender: str, body: Follow, now: float, *, call: int = 0
    ) -> list[Send]:
        """Record what a follower has and reply with the changes since then."""
        if not body.is_entry:
            self.control_seen(sender, now)
        since = body.since if body.feed == self._feed else 0
        follower = Follower(
            last_follow_at=now,
            is_entry=body.is_entry,
            wants_content=body.wants_content,
            version=body.version,
            since=since,
            confirmed=since,
        )
        previous = self._followers.get(sender)
        if previous is not None:
            follower.sent_version = previous.sent_version
            follower.sent_until = previous.sent_until
        self._followers[sender] = follower
        names = {*self._transfers.waiting, sender}
        chosen = self._transfers.choose(names, self.version, len(self.content), now)
        reply = self._push_to(sender, now, with_content=sender in chosen)
        answers = tuple(
            self._heard.find(body.asked[:MAX_ASKED], now, quiet_since=self._quiet_since)
        )
        news = attrs.evolve(
            reply.body,
            heard=answers,
            established=() if since else self._established(now),
        )
        return [
            attrs.evolve(reply, call=call, body=news),
            *(
                self._push_to(name, now, with_content=True)
                for name in sorted(chosen - {sender})
            ),
        ]

    def _established(self, now: float) -> tuple[EstablishedVersion, ...]:
        return tuple(
            EstablishedVersion(service=v.service, software_version=v.version)
            for v in self.directory.all_versions()
            if self.is_established(v, now)
        )

    def link_lost(self, address: str) -> None:
        """Take what a follower has not confirmed for lost; send it again."""
        follower = self._followers.get(address)
        if follower is not None:
            follower.sent_version = 0
            follower.since = follower.confirmed

    def all_entries_hold(self, version: int, now: float) -> bool:
        """Return whether every live entry that follows has this version or a newer."""
        return all(
            follower.version >= version
            for follower in self._followers.values()
            if follower.is_entry and follower.is_live(now)
        )

    def prune(self, now: float) -> None:
        """Delete control nodes, followers and replicas whose retention time is over."""
        if self._listening.turn(now):
            self._end_standstill(now)
        for address, seen_at in list(self._controls.items()):
            if now - seen_at >= CONTROL_RETENTION_S:
                del self._controls[address]
        for name, follower in list(self._followers.items()):
            if now - follower.last_follow_at >= FOLLOWER_RETENTION_S:
                del self._followers[name]
        self.directory.prune(now)
        self._heard.prune(self.directory, now)
        for replica in list(self._last_announced_at):
            if self.directory.get(replica) is None:
                del self._last_announced_at[replica]

    def _end_standstill(self, now: float) -> None:
        """Count those that could not be heard for a while as heard just now."""
        for follower in self._followers.values():
            follower.last_follow_at = now
        self._controls = dict.fromkeys(self._controls, now)

    def silent(self, now: float) -> tuple[str, ...]:
        """Return the replicas that announced nothing within `silent_after_s`.

        Announcements at other control nodes count.  The result is empty until
        this node has run for that long without a standstill.
        """
        if now - self._listening.since < self._silent_after_s:
            return ()
        return tuple(
            record.replica
            for record in self.directory.records()
            if now - self._last_announced_at.get(record.replica, 0.0)
            >= self._silent_after_s
        )

    def _merge(
        self, records: tuple[ReplicaRecord, ...], now: float, *, forward: bool
    ) -> list[Send]:
        changed = False
        for record in records:
            self._last_announced_at[record.replica] = now
            self._log_first(record, is_forwarded=not forward)
            changed |= self.directory.merge(record, now)
            if record.replica in self.directory:
                self._heard.known(record, now)
        effects = self._forward(records, now) if forward else []
        return effects + (self._push(now) if changed else [])

    def _quiet_since(self, replica: str) -> float:
        """Return since when no announcement of a replica has come.

        What was announced while this node stood still may not have come at all.
        """
        announced_at = self._last_announced_at.get(replica, self._started_at)
        return max(announced_at, self._listening.since)

    def _log_first(self, record: ReplicaRecord, *, is_forwarded: bool) -> None:
        """Log the first announcement of a lifetime."""
        current = self.directory.get(record.replica)
        if current is not None and record.born_ms <= current.born_ms:
            return
        logger.info(
            'lifetime_announced',
            extra={
                'replica': shortened(record.replica),
                'born_ms': record.born_ms,
                'earlier_born_ms': current.born_ms if current else 0,
                'software_version': shortened(record.software_version),
                'state': record.state,
                'sequence': record.sequence,
                'is_forwarded': is_forwarded,
            },
        )

    def _forward(self, records: tuple[ReplicaRecord, ...], now: float) -> list[Send]:
        body = Announcements(records=records)
        others = self.controls(now)[1:]
        return [Send(to=address, call=0, body=body) for address in others]

    def _push(self, now: float) -> list[Send]:
        """Send each live follower the changes that it does not have yet."""
        live = {name for name, f in self._followers.items() if f.is_live(now)}
        chosen = self._transfers.choose(live, self.version, len(self.content), now)
        return [
            self._push_to(name, now, with_content=name in chosen)
            for name in self._followers
            if name in live
        ]

    def _push_to(self, name: str, now: float, *, with_content: bool) -> Send:
        follower = self._followers[name]
        controls = self.controls(now)
        news = News(
            feed=self._feed,
            change=self.directory.change,
            version=self.version,
            content=self.content if with_content else b'',
            records=self.directory.since(follower.since),
            controls=controls,
            members=tuple(a for a in self._members if a not in controls),
            entries=self.entries(now),
            silent=self.silent(now),
            directory_age_ms=int(self._directory_age_s(now) * 1000),
            first_change=follower.since + 1,
            rollouts=self.rollouts(now),
        )
        follower.since = self.directory.change
        return Send(to=name, call=0, body=news)
