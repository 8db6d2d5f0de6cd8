"""Grants places before an engine, by urgency and fairly among customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..gate.fairness import FairTags
from ..messages.grants import (
    Denied,
    GateLoad,
    Granted,
    TierLoad,
)
from .kept_places import kept_places
from .place import Place
from .speed import EngineSpeed
from .tiers import Tiers
from .watchers import Watchers

if TYPE_CHECKING:
    from ..messages.grants import Ask, ReleasePlace, WatchLoad

# Who waits in vain hears it within this time.
LOOK_PERIOD_S = 0.2
# Runs of an entry that is out of reach may go on at the engine for a while.
LOST_HOLD_S = 1.0
RETRY_MIN_MS = 200
DEFAULT_SLOTS = 4
# A tier that nobody asked for lately is served at this rate at least.
MIN_GRANTS_PER_S = 0.7


class GrantGate:
    """All entries ask here before they send a request to one engine.

    The engine knows no priorities and takes requests as they come, so no more
    are let through than it runs at once, and the order is decided here.  The
    gate holds no request and passes no answer: when it dies, what runs goes on.
    Whoever asks is told the load along with the gate's word.

    Methods return effects; `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self.slots = DEFAULT_SLOTS
        self.speed = EngineSpeed()
        self._waiting: dict[tuple[str, str], Place] = {}
        self._running: dict[tuple[str, str], Place] = {}
        self._fair = FairTags()
        self._tiers = Tiers()
        self._order = 0
        self._watchers = Watchers()
        self._look_at = 0.0
        self._change = 0

    @property
    def running(self) -> int:
        """Number of places that are held."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def ask(self, asker: str, ask: Ask, now: float) -> list[Send]:
        """Take in a request for a place."""
        key = (asker, ask.request)
        if key in self._running:
            return [_granted(self._running[key])]
        if key in self._waiting:
            return [self._load_for(asker, now)]
        self.slots = ask.slots or self.slots
        self._tiers.seen(ask.tier, now)
        place = self._new_place(asker, ask, now)
        wait_ms = self._wait_ms(place, now)
        if self._is_hopeless(place, wait_ms, now):
            denial = _denied(place, int(wait_ms) - ask.objective_ms)
            return [denial, self._load_for(asker, now)]
        self._waiting[key] = place
        self._change += 1
        effects = self._grant_due(now)
        return [*effects, self._load_for(asker, now), *self._tell(now)]

    def release(self, asker: str, body: ReleasePlace, now: float) -> list[Send]:
        """Take in that a request waits no more or has left its place."""
        key = (asker, body.request)
        self._change += 1
        self._waiting.pop(key, None)
        place = self._running.pop(key, None)
        if place is not None and body.ok:
            ask = place.ask
            held_ms = (now - place.granted_at) * 1000
            self.speed.learn(
                ask.prompt_tokens, ask.output_tokens, body.first_ms, held_ms
            )
        return self._grant_due(now) + self._tell(now)

    def watch(self, asker: str, body: WatchLoad, now: float) -> list[Send]:
        """Tell an entry the load, now and when it changes."""
        self.slots = body.slots or self.slots
        self._watchers.watch(asker, body.period_ms, self._change, now)
        return [Send(to=asker, call=0, body=self.load(now))]

    def lost(self, asker: str, now: float) -> list[Send]:
        """Take in that an entry is out of reach."""
        self._watchers.lost(asker)
        for key in [k for k in self._waiting if k[0] == asker]:
            del self._waiting[key]
        for key, place in self._running.items():
            if key[0] == asker:
                place.lost_at = place.lost_at or now
        self._change += 1
        return []

    def tick(self, now: float) -> list[Send]:
        """Let time pass: expiry, places of lost entries, load reports."""
        effects = self._give_up_hopeless(now)
        for key, place in list(self._running.items()):
            lost = place.lost_at and now - place.lost_at >= LOST_HOLD_S
            if lost or now >= place.deadline_at:
                del self._running[key]
                self._change += 1
        return effects + self._grant_due(now) + self._tell(now)

    def load(self, now: float) -> GateLoad:
        """Return the load as entries are told it."""
        return GateLoad(
            slots=self.slots,
            running=len(self._running),
            waiting=self._tier_loads(now),
            free_in_ms=int(self._free_in_ms(now)),
            ms_per_1000_prompt_tokens=int(self.speed.prompt_ms * 1000),
            ms_per_1000_output_tokens=int(self.speed.output_ms * 1000),
        )

    def _give_up_hopeless(self, now: float) -> list[Send]:
        """Deny those who wait and, by what has come since, wait in vain."""
        looks = now >= self._look_at
        if looks:
            self._look_at = now + LOOK_PERIOD_S
        effects: list[Send] = []
        for key, place in list(self._waiting.items()):
            wait_ms = self._wait_ms(place, now) if looks else 0.0
            over = now >= place.patience_at
            if over or (looks and self._is_hopeless(place, wait_ms, now)):
                del self._waiting[key]
                self._change += 1
                effects.append(_denied(place, int(wait_ms) - place.ask.objective_ms))
        return effects

    def _is_hopeless(self, place: Place, wait_ms: float, now: float) -> bool:
        """Tell whether a request should come back later instead of waiting.

        Who waits long and then hears no loses more than who hears it at once.
        """
        first_ms = wait_ms + self.speed.first_ms(place.ask.prompt_tokens)
        if now + first_ms / 1000 > place.patience_at:
            return True
        return now + (wait_ms + self._work_ms(place)) / 1000 > place.deadline_at

    def _new_place(self, asker: str, ask: Ask, now: float) -> Place:
        self._order += 1
        tokens = ask.prompt_tokens + ask.output_tokens
        return Place(
            asker=asker,
            ask=ask,
            asked_at=now,
            order=self._order,
            fair_tag=self._fair.tag(ask.tier, ask.customer, tokens),
        )

    def _priority(self, place: Place, now: float) -> tuple[int, int, float, int]:
        """Order of grants: by tier and lateness, then fairly by customer."""
        tier = place.ask.tier
        behind = (place.ask.customer_tier, place.fair_tag, place.order)
        if self._tiers.has_turn(tier):
            return (-1, *behind)
        rank = self._tiers.rank(tier, late=place.is_late(now))
        return (rank, *behind)

    def _has_room(self, place: Place) -> bool:
        """Tell whether a place is free beyond those kept for urgent tiers.

        Less urgent runs are the longest: where they hold all places, urgent
        ones wait for them, while a place that is free slows nothing down.
        """
        index = self._tiers.index(place.ask.tier)
        return len(self._running) < self.slots - kept_places(index, self.slots)

    def _grant_due(self, now: float) -> list[Send]:
        effects: list[Send] = []
        while True:
            able = [k for k, place in self._waiting.items() if self._has_room(place)]
            if not able:
                return effects
            key = min(able, key=lambda k: self._priority(self._waiting[k], now))
            place = self._waiting.pop(key)
            still = {p.ask.tier for p in self._waiting.values()}
            self._tiers.granted(place.ask.tier, still, now)
            place.granted_at = now
            self._running[key] = place
            self._fair.started(place.ask.tier, place.fair_tag)
            self._change += 1
            effects.append(_granted(place))

    def _wait_ms(self, place: Place, now: float) -> float:
        """Estimate how long a request would wait, behind what goes before it."""
        priority = self._priority(place, now)
        ahead = [p for p in self._waiting.values() if self._priority(p, now) < priority]
        if not ahead and self._has_room(place):
            return 0.0
        work_ms = sum(self._work_ms(p) for p in ahead)
        by_work_ms = self._free_in_ms(now) + work_ms / max(1, self.slots)
        return max(by_work_ms, self._wait_by_rate_ms(place, ahead, now))

    def _wait_by_rate_ms(self, place: Place, ahead: list[Place], now: float) -> float:
        """Estimate the wait from how often the tier was served lately.

        That counts what more urgent requests will come in between; nothing
        comes between those of the most urgent tier.
        """
        tier = place.ask.tier
        if not self._tiers.index(tier):
            return 0.0
        same = sum(p.ask.tier == tier for p in ahead)
        if not same:
            return 0.0
        rate = self._tiers.grants_per_s(tier, now)
        return same * 1000 / max(rate, MIN_GRANTS_PER_S)

    def _free_in_ms(self, now: float) -> float:
        """Estimate when the next place will be free."""
        if len(self._running) < self.slots:
            return 0.0
        ends = [p.granted_at + self._work_ms(p) / 1000 for p in self._running.values()]
        return max(0.0, min(ends) - now) * 1000

    def _work_ms(self, place: Place) -> float:
        return self.speed.work_ms(place.ask.prompt_tokens, place.ask.output_tokens)

    def _tier_loads(self, now: float) -> tuple[TierLoad, ...]:
        """Sum up what waits by tier; what is late gives way and is left out."""
        sums: dict[int, list[float]] = {}
        for place in self._waiting.values():
            if not place.is_late(now):
                entry = sums.setdefault(place.ask.tier, [0, 0.0])
                entry[0] += 1
                entry[1] += self._work_ms(place)
        return tuple(
            TierLoad(tier=tier, waiting=int(count), work_ms=int(work_ms))
            for tier, (count, work_ms) in sorted(sums.items())
        )

    def _load_for(self, asker: str, now: float) -> Send:
        """Return the load for an entry that hears from this gate anyway."""
        self._watchers.told(asker, self._change, now)
        return Send(to=asker, call=0, body=self.load(now))

    def _tell(self, now: float) -> list[Send]:
        """Tell those who watch of a changed load."""
        return [
            self._load_for(name, now) for name in self._watchers.due(self._change, now)
        ]


def _granted(place: Place) -> Send:
    return Send(to=place.asker, call=0, body=Granted(request=place.ask.request))


def _denied(place: Place, retry_after_ms: int) -> Send:
    body = Denied(
        request=place.ask.request, retry_after_ms=max(RETRY_MIN_MS, retry_after_ms)
    )
    return Send(to=place.asker, call=0, body=body)
