"""Follows control nodes: configuration, replicas and other nodes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.directory import Follow
from ..util.rendezvous import by_weight
from .directory import Directory

if TYPE_CHECKING:
    from ..messages.directory import News

FOLLOW_S = 0.4
# Changes are told as they come; asking is what shows that a node is there.
FOLLOW_OTHERS_S = 1.2
# A newer configuration comes from the main control node, or else from another.
CONTENT_LATE_S = 0.3
# A node without a configuration serves nobody: a first control node that starts
# later than it does is found within this time.
FIRST_FOLLOW_S = 0.05
LIVE_S = 3.0
MAIN_LIVE_S = 1.2
FORGET_S = 30.0


@attrs.define(kw_only=True)
class _Source:
    """A control node and what is held of its feed."""

    named_at: float
    heard_at: float = -LIVE_S
    ask_at: float = 0.0
    newer_since: float = math.inf
    feed: int = 0
    change: int = 0
    silent: frozenset[str] = frozenset()


class Subscriber:
    """Asks every known control node for news and merges what they say.

    An entry has a main control node, from which it takes configurations; all
    entries together spread over the control nodes.  A control node has no such
    need.  A version never goes back.  What is held stays in use while no control
    node answers.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, is_entry: bool, own_address: str) -> None:
        self.directory = Directory()
        self.version = 0
        self.content = b''
        self.entries = 0
        self._is_entry = is_entry
        self._own_address = own_address
        self._seeds: tuple[str, ...] = ()
        self._sources: dict[str, _Source] = {}
        self._main = ''

    def set_seeds(self, seeds: tuple[str, ...], now: float) -> None:
        """Follow the control nodes at these addresses as well."""
        self._seeds = seeds
        for address in seeds:
            self._know(address, now)

    def controls(self) -> tuple[str, ...]:
        """Return the control nodes that are followed."""
        return tuple(self._sources)

    def live_controls(self, now: float) -> int:
        """Return how many control nodes answer."""
        return sum(now - s.heard_at < LIVE_S for s in self._sources.values())

    def main(self, now: float) -> str:
        """Return the main control node, empty where none answers.

        It stays the same while it answers.
        """
        source = self._sources.get(self._main)
        if source is None or now - source.heard_at >= MAIN_LIVE_S:
            live = [
                address
                for address, other in self._sources.items()
                if now - other.heard_at < MAIN_LIVE_S
            ]
            self._main = next(iter(by_weight(self._own_address, live)), '')
        return self._main

    def lost(self, address: str) -> None:
        """Take in that a node is out of reach."""
        source = self._sources.get(address)
        if source is not None:
            source.heard_at = -LIVE_S

    def tick(self, now: float) -> list[Send]:
        """Ask for news when it is time."""
        self._forget(now)
        main = self.main(now)
        is_lost = not self.version and not self.live_controls(now)
        effects: list[Send] = []
        for address, source in self._sources.items():
            is_late = now - source.newer_since >= CONTENT_LATE_S
            if now < source.ask_at and not is_late:
                continue
            if is_late:
                source.newer_since = now
            source.ask_at = now + self._pause_s(address, main, is_lost=is_lost)
            effects.append(self._follow(address, source, wants_content=is_late))
        return effects

    def _pause_s(self, address: str, main: str, *, is_lost: bool) -> float:
        if is_lost:
            return FIRST_FOLLOW_S
        is_other = self._is_entry and main and address != main
        return FOLLOW_OTHERS_S if is_other else FOLLOW_S

    def _forget(self, now: float) -> None:
        for address, source in list(self._sources.items()):
            unnamed = now - source.named_at >= FORGET_S
            if unnamed and address not in self._seeds:
                del self._sources[address]

    def news(self, sender: str, body: News, now: float) -> list[Send]:
        """Take in news; return the acknowledgement of a new version."""
        source = self._know(sender, now)
        if source is None:
            return []
        source.heard_at = now
        source.silent = frozenset(body.silent)
        source.feed = body.feed
        source.change = body.change
        for record in body.records:
            self.directory.merge(record, now)
        for address in body.controls:
            self._know(address, now)
        self.entries = body.entries
        if body.version <= self.version:
            source.newer_since = math.inf
            return []
        if not body.content:
            source.newer_since = min(source.newer_since, now)
            return []
        self.version = body.version
        self.content = body.content
        return [self._follow(a, s) for a, s in self._sources.items()]

    def is_silent(self, replica: str, now: float) -> bool:
        """Tell whether all control nodes that answer miss a replica."""
        live = [s for s in self._sources.values() if now - s.heard_at < LIVE_S]
        return bool(live) and all(replica in source.silent for source in live)

    def _know(self, address: str, now: float) -> _Source | None:
        if address == self._own_address:
            return None
        source = self._sources.setdefault(address, _Source(named_at=now))
        source.named_at = now
        return source

    def _follow(
        self, address: str, source: _Source, *, wants_content: bool = False
    ) -> Send:
        body = Follow(
            version=self.version,
            feed=source.feed,
            since=source.change,
            is_entry=self._is_entry,
            wants_content=wants_content or address == self._main or not self.version,
        )
        return Send(to=address, call=0, body=body)
