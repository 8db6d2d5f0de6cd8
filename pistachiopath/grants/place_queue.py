"""Requests at a gate: those that wait, in order of priority, and those that run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..gate.fairness import FairTags
from .kept_places import kept_places
from .occupancy import Occupancy
from .place import Place
from .tiers import Tiers

if TYPE_CHECKING:
    from ..messages.grants import Ask

DEFAULT_SLOTS = 4
LATE_TURN_RANK = -1
TURN_RANK = -2
RESUMED_RANK = -3


class PlaceQueue:
    """Keeps the order of the waiting requests and the places in use.

    Requests are identified by their entry and their own name.  `slots` is the
    number of places.  `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self.slots = DEFAULT_SLOTS
        self.waiting: dict[tuple[str, str], Place] = {}
        self.running: dict[tuple[str, str], Place] = {}
        self.tiers = Tiers()
        self._fair_tags = FairTags()
        self._order = 0

    def new_place(self, entry: str, ask: Ask, now: float) -> Place:
        """Return a place for a new request, which does not wait yet."""
        self.tiers.record_request(ask.tier, now)
        self._order += 1
        tokens = ask.prompt_tokens + ask.output_tokens
        return Place(
            entry=entry,
            ask=ask,
            asked_at=now,
            order=self._order,
            fair_tag=self._fair_tags.tag(ask.tier, ask.customer, tokens),
        )

    def next_to_run(self, now: float) -> tuple[str, str] | None:
        """Return the waiting request that gets the next place, if there is one."""
        eligible = [k for k, place in self.waiting.items() if self.has_room(place)]
        if not eligible:
            return None
        return min(eligible, key=lambda k: self._priority(self.waiting[k], now))

    def start(self, key: tuple[str, str], place: Place, now: float) -> None:
        """Give a request that has waited its place."""
        tier = place.ask.tier
        waiting_tiers = {p.ask.tier for p in self.waiting.values()}
        self.tiers.record_grant(tier, waiting_tiers, now)
        place.granted_at = now
        self.running[key] = place
        self._fair_tags.started(tier, place.fair_tag)

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
            del self.running[key]
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
