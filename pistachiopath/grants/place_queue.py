"""Requests at a gate: those that wait, in order of priority, and those that run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..gate.fairness import FairTags
from ..shares.capacity_shares import CapacityShares
from ..shares.shortage_span import ShortageSpan
from .kept_places import kept_places
from .occupancy import Occupancy
from .place import Place
from .tiers import Tiers
from .wait_estimate import WaitEstimate

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.grants import Ask
    from .gate_log import GateLog

DEFAULT_SLOTS = 4
LATE_TURN_RANK = -1
TURN_RANK = -2
RESUMED_RANK = -3


class PlaceQueue:
    """Keeps the order of the waiting requests and the places in use.

    Requests are identified by their entry and their own name.  `slots` is the
    number of places.  `work_ms` returns for how long a request is expected to hold
    its place.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, work_ms: Callable[[Place], float]) -> None:
        self.slots = DEFAULT_SLOTS
        self.waiting: dict[tuple[str, str], Place] = {}
        self.running: dict[tuple[str, str], Place] = {}
        self.tiers = Tiers()
        self.shares = CapacityShares(work_ms=work_ms, tiers=self.tiers)
        self._fair_tags = FairTags()
        self._shortage = ShortageSpan()
        self._order = 0

    def new_place(self, entry: str, ask: Ask, now: float) -> Place:
        """Return a place for a new request, which does not wait yet."""
        self.tiers.record_request(ask.tier, now)
        self._order += 1
        tokens = ask.prompt_tokens + ask.output_tokens
        place = Place(
            entry=entry,
            ask=ask,
            asked_at=now,
            order=self._order,
            fair_tag=self._fair_tags.tag(ask.tier, ask.customer, tokens),
        )
        self.shares.asked(place, now)
        return place

    def next_to_run(self, now: float) -> tuple[str, str] | None:
        """Return the waiting request that gets the next place, if there is one."""
        eligible = [k for k, place in self.waiting.items() if self.has_room(place)]
        if not eligible:
            return None
        waiting = self.waiting.values()
        if self.shares.is_short(waiting, self.slots, now):
            keys = self.shares.grant_keys(waiting, now)
            return min(eligible, key=lambda k: keys[self.waiting[k]])
        return min(eligible, key=lambda k: self._priority(self.waiting[k], now))

    def start(self, key: tuple[str, str], place: Place, now: float) -> None:
        """Give a request that has waited its place."""
        tier = place.ask.tier
        waiting_tiers = {p.ask.tier for p in self.waiting.values()}
        self.tiers.record_grant(tier, waiting_tiers, now)
        place.granted_at = now
        self.running[key] = place
        self._fair_tags.started(tier, place.fair_tag)
        self.shares.granted(place, now)

    def end(self, key: tuple[str, str], now: float) -> Place | None:
        """Free the place of a request; return None if it has none."""
        place = self.running.pop(key, None)
        if place is not None:
            self.shares.ended(place, now)
        return place

    def free_ended(self, now: float, lost_until: float) -> int:
        """Free the places whose time is over; return their number.

        So is that of a place whose entry was lost at `lost_until` or before.
        """
        ended = [
            key
            for key, place in self.running.items()
            if now >= place.deadline_at or 0.0 < place.lost_at <= lost_until
        ]
        for key in ended:
            self.end(key, now)
        return len(ended)

    def count_as_lost(self, now: float) -> None:
        """Count the places of lost entries as those of entries lost just now."""
        for place in self.running.values():
            if place.lost_at:
                place.lost_at = now

    def ahead_of(self, place: Place, now: float) -> list[Place]:
        """Return the waiting requests of higher priority."""
        priority = self._priority(place, now)
        return [p for p in self.waiting.values() if self._priority(p, now) < priority]

    def wait_by_shares(
        self, place: Place, free_in_ms: float, now: float
    ) -> WaitEstimate:
        """Estimate the wait of a request for which shares decide.

        If it has room, those that go before it have none.
        """
        if self.has_room(place):
            return WaitEstimate()
        ahead, wait_ms = self.shares.wait_ms(
            place,
            self.waiting.values(),
            free_in_ms=free_in_ms,
            slots=self.slots,
            now=now,
        )
        return WaitEstimate(ahead=ahead, by_work_ms=wait_ms)

    def log_shortage(self, log: GateLog, now: float) -> None:
        """Log the begin or the end of a shortage of capacity."""
        waiting = self.waiting.values()
        is_short = self.shares.is_short(waiting, self.slots, now)
        change = self._shortage.update(is_short, now)
        if change is not None:
            log.shortage(
                has_begun=change,
                span_s=now - self._shortage.began_at,
                waiting=len(waiting),
                customers=len({p.ask.customer for p in waiting}),
            )

    def has_room(self, place: Place) -> bool:
        """Return whether a place is free beyond those reserved for urgent tiers.

        Runs of less urgent tiers are the longest.  If they held all places,
        urgent requests would wait for them, whereas a free place slows nothing
        down.  A resumed stream may use them: it can go on at few replicas.
        """
        if place.ask.is_resumed:
            return len(self.running) < self.slots
        index = self.tiers.index(place.ask.tier)
        return len(self.running) < self.slots - kept_places(index, self.slots)

    def occupancy(self, place: Place, now: float) -> Occupancy:
        """Return the counts at a decision on a request."""
        in_time = [
            p
            for p in self.waiting.values()
            if p.ask.tier == place.ask.tier and p is not place and not p.is_late(now)
        ]
        return Occupancy(
            slots=self.slots,
            running=len(self.running),
            waiting=len(self.waiting),
            tier_in_time=len(in_time),
        )

    def _priority(self, place: Place, now: float) -> tuple[int, int, float, int]:
        """Order of grants: by tier and lateness, then fairly by customer.

        A resumed stream goes first: it was admitted before, and can go on at few
        replicas, whereas a new one can begin at any.
        """
        tier = place.ask.tier
        is_late = place.is_late(now)
        tie_break = (place.ask.customer_tier, place.fair_tag, place.order)
        if place.ask.is_resumed:
            return (RESUMED_RANK, *tie_break)
        if self.tiers.has_turn(tier):
            return (LATE_TURN_RANK if is_late else TURN_RANK, *tie_break)
        rank = self.tiers.rank(tier, late=is_late)
        return (rank, *tie_break)
