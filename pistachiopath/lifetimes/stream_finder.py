"""Asks gates and control nodes which software version began a stream."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.event

from ..messages.grants import WatchLoad
from ..streams.origin import Origin
from ..streams.service_version import ServiceVersion
from ..util.later import call_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.base import Message
    from ..messages.streams import StreamOrigin, StreamOrigins

# Questions for the same gate within this time share a message; with many gates
# the time is longer, so that the messages per second stay bounded.
BATCH_S = 0.004
BATCH_S_PER_GATE = 0.0001
MAX_STREAMS_PER_MESSAGE = 500
# A gate of an older build takes a question for a wish to be sent its load.
QUESTION_PERIOD_MS = 60_000
CHECK_INTERVAL_S = 0.05
REPEAT_INTERVAL_S = 0.4
# A holder that may have learned more is asked again this long after its reply.
RENEWAL_INTERVAL_S = 0.1
# A process that was paused handles what arrived meanwhile before it gives up.
MIN_CHECKS = 3
# An unconfirmed origin may be that of an earlier attempt, so the other gates have
# this much longer to reply.
SETTLE_S = 0.1


@attrs.define(kw_only=True, eq=False)
class _Search:
    """A stream whose origin is wanted.

    `asked_at` holds the gates that have not replied yet, and `heard` when those were
    heard that have, or that can't be reached.
    """

    stream: str
    origin: Origin | None = None
    found_at: float = 0.0
    asked_at: dict[str, float] = attrs.field(factory=dict)
    heard: dict[str, float] = attrs.field(factory=dict)
    signal: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    def take(self, origin: Origin, now: float) -> None:
        """Use an origin if it counts more than the one known so far."""
        if self.origin is None:
            self.found_at = now
        is_newer = bool(origin.address) and self.origin is not None
        if self.origin is None or origin.rank > self.origin.rank:
            self.origin = origin
        elif is_newer and origin.rank == self.origin.rank:
            # The process has been seen for longer by now.
            self.origin = origin

    def forget_replies(self, gates: frozenset[str], now: float) -> None:
        """Let these gates be asked again some time after they replied."""
        for gate in gates & self.heard.keys():
            if now - self.heard[gate] >= RENEWAL_INTERVAL_S:
                del self.heard[gate]

    def settled(self, now: float) -> Origin | None:
        """Return the origin if no other one is expected to count more."""
        if self.origin is None:
            return None
        is_late = now - self.found_at >= SETTLE_S
        is_settled = self.origin.is_confirmed or not self.asked_at or is_late
        return self.origin if is_settled else None


@attrs.define(kw_only=True)
class _Call:
    """A message to a gate that has not been answered."""

    gate: str
    searches: list[_Search]
    sent_at: float


class StreamFinder:
    """Finds the origins of streams in the memories of gates and control nodes.

    Control nodes are asked as gates are.

    `send` sends a message to a gate without a delivery guarantee.
    """

    def __init__(self, *, send: Callable[[str, int, Message], None]) -> None:
        self._send = send
        self._searches: set[_Search] = set()
        self._unsent: dict[str, list[_Search]] = {}
        self._calls: dict[int, _Call] = {}
        self._last_call = 0
        self._flush: gevent.Greenlet | None = None

    def find(
        self,
        stream: str,
        gates: Callable[[], frozenset[str]],
        *,
        is_complete: Callable[[], bool],
        until: float,
        is_proven: Callable[[Origin], bool] = lambda origin: True,
        deduce: Callable[[], Origin | None] = lambda: None,
        asks_again: Callable[[], frozenset[str]] = frozenset,
    ) -> Origin | None:
        """Return the origin of a stream; wait until `until`, and some checks at least.

        `gates` is asked again while it waits, as an entry that has just started
        learns of more.  If all have replied and `is_complete` tells that there is
        nothing to wait for, nobody knows.  An origin that is not confirmed counts only
        if it `is_proven`, and what can be deduced counts as well.  Holders in
        `asks_again` may learn more meanwhile.
        """
        search = _Search(stream=stream)
        self._searches.add(search)
        try:
            for check in itertools.count():
                now = time.monotonic()
                search.forget_replies(asks_again(), now)
                self._ask(search, gates(), now)
                found = search.settled(now)
                if found is not None and (found.is_confirmed or is_proven(found)):
                    return found
                deduced = deduce()
                nobody_knows = not search.asked_at and is_complete()
                is_over = now >= until and check >= MIN_CHECKS
                if deduced is not None or nobody_knows or is_over:
                    return deduced
                search.signal.wait(CHECK_INTERVAL_S)
                search.signal.clear()
        finally:
            self._searches.discard(search)

    def receive(self, gate: str, call: int, body: StreamOrigins) -> None:
        """Handle the reply of a gate."""
        sent = self._calls.get(call)
        if sent is None or sent.gate != gate:
            return
        del self._calls[call]
        now = time.monotonic()
        found = {origin.stream: origin for origin in body.origins}
        for search in sent.searches:
            origin = found.get(search.stream)
            if origin is not None:
                search.take(_decoded(origin, gate, now, asked_at=sent.sent_at), now)
            _heard(search, gate)

    def handle_lost(self, gate: str) -> None:
        """Expect no replies of a gate whose connection was lost."""
        for search in self._searches:
            if gate in search.asked_at:
                _heard(search, gate)

    def _ask(self, search: _Search, gates: frozenset[str], now: float) -> None:
        for gate in gates - search.heard.keys():
            asked_at = search.asked_at.get(gate)
            if asked_at is None or now - asked_at >= REPEAT_INTERVAL_S:
                search.asked_at[gate] = now
                self._unsent.setdefault(gate, []).append(search)
        if self._unsent and not self._flush:
            pause_s = max(BATCH_S, BATCH_S_PER_GATE * len(self._unsent))
            self._flush = call_later(pause_s, self._send_all)

    def _send_all(self) -> None:
        self._flush = None
        unsent, self._unsent = self._unsent, {}
        now = time.monotonic()
        self._drop_unanswered(now)
        for gate, searches in unsent.items():
            for start in range(0, len(searches), MAX_STREAMS_PER_MESSAGE):
                part = searches[start : start + MAX_STREAMS_PER_MESSAGE]
                self._last_call += 1
                self._calls[self._last_call] = _Call(
                    gate=gate, searches=part, sent_at=now
                )
                streams = tuple(search.stream for search in part)
                body = WatchLoad(slots=0, period_ms=QUESTION_PERIOD_MS, streams=streams)
                self._send(gate, self._last_call, body)

    def _drop_unanswered(self, now: float) -> None:
        """Drop the oldest calls, whose questions have been repeated since."""
        while self._calls:
            call = next(iter(self._calls))
            if now - self._calls[call].sent_at < REPEAT_INTERVAL_S:
                return
            del self._calls[call]


def _heard(search: _Search, gate: str) -> None:
    search.asked_at.pop(gate, None)
    search.heard[gate] = time.monotonic()
    if not search.asked_at or (search.origin and search.origin.is_confirmed):
        search.signal.set()


def _decoded(
    origin: StreamOrigin, holder: str, now: float, *, asked_at: float
) -> Origin:
    return Origin(
        version=ServiceVersion(service=origin.service, version=origin.software_version),
        attempt=origin.attempt,
        is_confirmed=origin.is_confirmed,
        noted_at=now - origin.age_ms / 1000,
        holder=holder,
        replica=origin.replica,
        born_ms=origin.born_ms,
        granted_at=asked_at - origin.granted_ms / 1000,
        address=origin.address,
        # The reply may have waited on both ways, so neither bound says too much.
        opened_at=now - origin.opened_ms / 1000,
        alive_until=asked_at - origin.alive_ms / 1000,
    )
