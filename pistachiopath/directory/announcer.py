"""What a control node knows of replicas and of the nodes that follow it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.directory import Announcements, News
from .directory import Directory

if TYPE_CHECKING:
    from ..messages.directory import Follow, ReplicaRecord

FOLLOWER_LEASE_S = 3.0
FORGET_FOLLOWER_S = 20.0
FORGET_CONTROL_S = 20.0


@attrs.define(kw_only=True)
class _Follower:
    """A node that follows this one, and what it holds."""

    heard_at: float
    is_entry: bool
    wants_content: bool
    version: int = 0
    since: int = 0


class Announcer:
    """Merges announcements and tells followers what is new.

    Announcements are forwarded to the other control nodes as they come, and
    to entries only where they matter to those who send work.  Methods return
    effects; `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, address: str, feed: int, silent_after_s: float, now: float
    ) -> None:
        self.directory = Directory()
        self.version = 0
        self.content = b''
        self._address = address
        self._feed = feed
        self._silent_after_s = silent_after_s
        self._started_at = now
        self._followers: dict[str, _Follower] = {}
        self._controls: dict[str, float] = {}
        self._heard: dict[str, float] = {}

    def controls(self, now: float) -> tuple[str, ...]:
        """Return the control nodes heard lately, this one included."""
        others = [a for a, at in self._controls.items() if now - at < FORGET_CONTROL_S]
        return (self._address, *sorted(others))

    def entries(self, now: float) -> int:
        """Return how many entries were heard lately."""
        return sum(
            follower.is_entry and now - follower.heard_at < FORGET_FOLLOWER_S
            for follower in self._followers.values()
        )

    def heard_control(self, address: str, now: float) -> None:
        """Take note that another control node lives."""
        self._controls[address] = now

    def announce(self, record: ReplicaRecord, now: float) -> list[Send]:
        """Take in what a replica announced here."""
        return self._take((record,), now, forward=True)

    def depart(self, replica: str, now: float) -> list[Send]:
        """Take in here that a replica is gone."""
        known = self.directory.get(replica)
        record = self.directory.depart(replica, now)
        if record is None or record == known:
            return []
        return self._forward((record,), now) + self._push(now)

    def forwarded(self, body: Announcements, now: float) -> list[Send]:
        """Take in what was announced at another control node."""
        return self._take(body.records, now, forward=False)

    def put_in_force(self, version: int, content: bytes, now: float) -> list[Send]:
        """Tell followers of a committed configuration."""
        if version <= self.version:
            return []
        self.version = version
        self.content = content
        return self._push(now)

    def follow(self, sender: str, body: Follow, now: float) -> list[Send]:
        """Answer a follower."""
        if not body.is_entry:
            self.heard_control(sender, now)
        since = body.since if body.feed == self._feed else 0
        follower = _Follower(
            heard_at=now,
            is_entry=body.is_entry,
            wants_content=body.wants_content,
            version=body.version,
            since=since,
        )
        self._followers[sender] = follower
        return [self._news(sender, follower, now)]

    def all_hold(self, version: int, now: float) -> bool:
        """Tell whether every entry that follows holds a version."""
        return all(
            follower.version >= version
            for follower in self._followers.values()
            if follower.is_entry and now - follower.heard_at < FOLLOWER_LEASE_S
        )

    def prune(self, now: float) -> None:
        """Forget nodes and replicas that went long ago."""
        for name, follower in list(self._followers.items()):
            if now - follower.heard_at >= FORGET_FOLLOWER_S:
                del self._followers[name]
        self.directory.prune(now)
        for replica in list(self._heard):
            if self.directory.get(replica) is None:
                del self._heard[replica]

    def silent(self, now: float) -> tuple[str, ...]:
        """Return the replicas that announced nothing anywhere lately."""
        if now - self._started_at < self._silent_after_s:
            return ()
        return tuple(
            record.replica
            for record in self.directory.records()
            if now - self._heard.get(record.replica, 0.0) >= self._silent_after_s
        )

    def _take(
        self, records: tuple[ReplicaRecord, ...], now: float, *, forward: bool
    ) -> list[Send]:
        changed = False
        for record in records:
            self._heard[record.replica] = now
            changed |= self.directory.merge(record, now)
        effects = self._forward(records, now) if forward else []
        return effects + (self._push(now) if changed else [])

    def _forward(self, records: tuple[ReplicaRecord, ...], now: float) -> list[Send]:
        body = Announcements(records=records)
        others = self.controls(now)[1:]
        return [Send(to=address, call=0, body=body) for address in others]

    def _push(self, now: float) -> list[Send]:
        """Tell all live followers what they do not hold yet."""
        return [
            self._news(name, follower, now)
            for name, follower in self._followers.items()
            if now - follower.heard_at < FOLLOWER_LEASE_S
        ]

    def _news(self, name: str, follower: _Follower, now: float) -> Send:
        newer = self.version > follower.version and follower.wants_content
        news = News(
            feed=self._feed,
            change=self.directory.change,
            version=self.version,
            content=self.content if newer else b'',
            records=self.directory.since(follower.since),
            controls=self.controls(now),
            entries=self.entries(now),
            silent=self.silent(now),
        )
        follower.since = self.directory.change
        return Send(to=name, call=0, body=news)
