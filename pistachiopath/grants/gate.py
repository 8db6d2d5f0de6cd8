"""Admission of requests to an engine by tier and fairly between customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..engine_state.state import EngineState
from ..messages.grants import GateLoad
from .begun_streams import BegunStreams
from .denial_cause import DenialCause
from .gate_log import GateLog
from .place_queue import PlaceQueue
from .replies import denied, granted
from .speed import EngineSpeed
from .tier_loads import tier_loads
from .wait_estimate import WaitEstimate, wait_by_rate_ms
from .watchers import Watchers

if TYPE_CHECKING:
    from ..messages.grants import Ask, ReleasePlace, WatchLoad
    from .place import Place

# Waiting requests are checked this often for whether they can still be served
# in time, so one that cannot is denied within this period.
RECHECK_PERIOD_S = 0.2
# The runs of an unreachable entry may continue on the engine for a while.
LOST_ENTRY_HOLD_S = 1.0


class GrantGate:
    """Limits and orders the requests that all entries send to one engine.

    The engine has no priorities and serves requests in order of arrival, so the
    gate grants no more places than the engine has slots and decides the order
    itself.  Requests and answers do not pass through the gate: running requests
    continue if its process dies.  An entry that asks for a place is also sent
    the load.  The gate remembers which software version began a stream, also for
    entries that have lost their memory since.

    Methods return effects; `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, log: GateLog | None = None, engine: EngineState | None = None
    ) -> None:
        self._log = log or GateLog()
        self.engine = engine or EngineState()
        self.speed = EngineSpeed()
        self._queue = PlaceQueue(work_ms=self._work_ms)
        self._watchers = Watchers()
        self._streams = BegunStreams()
        self._recheck_at = 0.0
        self._load_version = 0

    @property
    def slots(self) -> int:
        """Number of places."""
        return self._queue.slots

    @property
    def running(self) -> int:
        """Number of places in use."""
        return len(self._queue.running)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue.waiting)

    def ask(self, entry: str, ask: Ask, now: float) -> list[Send]:
        """Handle a request for a place: grant it, deny it or queue it.

        A repeated request does not take a second place.
        """
        key = (entry, ask.request)
        if key in self._queue.running:
            return [granted(self._queue.running[key])]
        if key in self._queue.waiting:
            return [self._load_for(entry, now)]
        self._queue.slots = ask.slots or self.slots
        place = self._queue.new_place(entry, ask, now)
        estimate = self._estimate_wait(place, now)
        cause = self._denial_cause(place, estimate, now)
        if cause is not None:
            denial = self._deny(place, cause, estimate, now)
            return [denial, self._load_for(entry, now)]
        self._queue.waiting[key] = place
        self._load_version += 1
        effects = self._grant_due(now)
        return [*effects, self._load_for(entry, now), *self._notify_watchers(now)]

    def release(self, entry: str, body: ReleasePlace, now: float) -> list[Send]:
        """Remove a request that stopped waiting or has left its place."""
        key = (entry, body.request)
        self._load_version += 1
        self._queue.waiting.pop(key, None)
        place = self._queue.end(key, now)
        if place is not None and body.ok:
            ask = place.ask
            held_ms = (now - place.granted_at) * 1000
            self.speed.record_run(
                ask.prompt_tokens, ask.output_tokens, body.first_ms, held_ms
            )
        if place is not None:
            self._streams.released(place.ask, body, now)
            self.engine.record_release(place, body, now, self.speed.output_ms)
        return self._grant_due(now) + self._notify_watchers(now)

    def find_streams(
        self, entry: str, call: int, streams: tuple[str, ...], now: float
    ) -> list[Send]:
        """Reply with what is known of streams."""
        return [Send(to=entry, call=call, body=self._streams.find(streams, now))]

    def watch(self, entry: str, body: WatchLoad, now: float) -> list[Send]:
        """Send an entry the load now and whenever it changes."""
        self._queue.slots = body.slots or self.slots
        self._watchers.watch(entry, body.period_ms, self._load_version, now)
        return [Send(to=entry, call=0, body=self.load(now))]

    def tell_watchers(self, now: float) -> list[Send]:
        """Send the load to all entries that watch it, also before it is due."""
        return [self._load_for(name, now) for name in self._watchers.names()]

    def entry_lost(self, entry: str, now: float) -> list[Send]:
        """Drop the waiting requests of an unreachable entry.

        Its running requests keep their places for `LOST_ENTRY_HOLD_S`, and longer if
        it names them to `keep` by then.
        """
        self._watchers.remove(entry)
        for key in [k for k in self._queue.waiting if k[0] == entry]:
            del self._queue.waiting[key]
        for key, place in self._queue.running.items():
            if key[0] == entry:
                place.lost_at = place.lost_at or now
        self._load_version += 1
        return []

    def keep(self, entry: str, held: tuple[str, ...], now: float) -> list[Send]:
        """Keep the places that a reachable entry still holds.

        One that has been freed meanwhile stays free.
        """
        for request in held:
            place = self._queue.running.get((entry, request))
            if place is not None:
                place.lost_at = 0.0
        return [self._load_for(entry, now)]

    def end_standstill(self, now: float) -> None:
        """Leave lost entries time to be heard that sent something meanwhile."""
        self._queue.count_as_lost(now)

    def tick(self, now: float) -> list[Send]:
        """Run periodic work: expiry, places of lost entries, load reports."""
        effects = self._deny_infeasible(now)
        self._load_version += self._queue.free_ended(now, now - LOST_ENTRY_HOLD_S)
        return effects + self._grant_due(now) + self._notify_watchers(now)

    def load(self, now: float) -> GateLoad:
        """Return the load as it is reported to entries."""
        load = GateLoad(
            slots=self.slots,
            running=len(self._queue.running),
            waiting=tier_loads(self._queue.waiting.values(), self._work_ms, now),
            free_in_ms=int(self._free_in_ms(now)),
            ms_per_1000_prompt_tokens=int(self.speed.prompt_ms * 1000),
            ms_per_1000_output_tokens=int(self.speed.output_ms * 1000),
        )
        return self.engine.extend(load, now)

    def _deny_infeasible(self, now: float) -> list[Send]:
        """Deny waiting requests that have expired or can no longer be in time.

        Requests that arrived later may have gone ahead of them meanwhile.
        """
        is_recheck_due = now >= self._recheck_at
        if is_recheck_due:
            self._recheck_at = now + RECHECK_PERIOD_S
            self._queue.log_shortage(self._log, now)
        effects: list[Send] = []
        for key, place in list(self._queue.waiting.items()):
            estimate = WaitEstimate()
            cause = DenialCause.EXPIRED if now >= place.patience_at else None
            if is_recheck_due:
                estimate = self._estimate_wait(place, now)
                cause = cause or self._denial_cause(place, estimate, now)
            if cause is not None:
                del self._queue.waiting[key]
                self._load_version += 1
                effects.append(self._deny(place, cause, estimate, now))
        return effects

    def _deny(
        self, place: Place, cause: DenialCause, estimate: WaitEstimate, now: float
    ) -> Send:
        self._log.denied(place, cause, estimate, self._queue.occupancy(place, now), now)
        retry_ms = estimate.wait_ms - place.ask.objective_ms
        if place.ask.is_final_urgent:
            retry_ms = self._queue.shares.retry_ms(
                place, estimate.wait_ms, self.slots, now
            )
        return denied(place, int(retry_ms))

    def _denial_cause(
        self, place: Place, estimate: WaitEstimate, now: float
    ) -> DenialCause | None:
        """Return the time that a request is expected to exceed, or None.

        An early denial costs a caller less than one after a long wait, but a caller
        with half of a stream has few other places to ask for.
        """
        if place.ask.is_resumed:
            return None
        first_ms = estimate.wait_ms + self.speed.first_ms(place.ask.prompt_tokens)
        if now + first_ms / 1000 > place.patience_at:
            return DenialCause.PATIENCE
        end_ms = estimate.wait_ms + self._work_ms(place)
        if now + end_ms / 1000 > place.deadline_at:
            return DenialCause.DEADLINE
        return None

    def _grant_due(self, now: float) -> list[Send]:
        effects: list[Send] = []
        queue = self._queue
        while True:
            key = queue.next_to_run(now)
            if key is None or not self.engine.admits(queue, key, now):
                return effects
            place = queue.waiting.pop(key)
            by_turn = queue.tiers.has_turn(place.ask.tier)
            occupancy = queue.occupancy(place, now)
            self._log.granted(place, occupancy, now, by_turn=by_turn)
            queue.start(key, place, now)
            self._streams.granted(place.ask, now)
            self._load_version += 1
            effects.append(granted(place))

    def _estimate_wait(self, place: Place, now: float) -> WaitEstimate:
        """Estimate how long a request waits behind those of higher priority."""
        queue = self._queue
        if place.ask.is_final_urgent:
            return queue.wait_by_shares(place, self._next_end_ms(now), now)
        ahead = queue.ahead_of(place, now)
        if not ahead and queue.has_room(place):
            return WaitEstimate()
        work_ms = sum(self._work_ms(p) for p in ahead)
        tier = place.ask.tier
        ahead_in_tier = sum(p.ask.tier == tier for p in ahead)
        rate = queue.tiers.grants_per_s(tier, now)
        is_urgent = not queue.tiers.index(tier)
        return WaitEstimate(
            ahead=len(ahead),
            by_work_ms=self._free_in_ms(now) + work_ms / max(1, self.slots),
            by_rate_ms=0.0 if is_urgent else wait_by_rate_ms(ahead_in_tier, rate),
            grants_per_s=rate or 0.0,
        )

    def _free_in_ms(self, now: float) -> float:
        """Estimate when the next place will be free."""
        if len(self._queue.running) < self.slots:
            return 0.0
        return self._next_end_ms(now)

    def _next_end_ms(self, now: float) -> float:
        """Estimate when the next run will end; 0 if there is none."""
        end_times = [
            p.granted_at + self._work_ms(p) / 1000 for p in self._queue.running.values()
        ]
        return max(0.0, min(end_times, default=now) - now) * 1000

    def _work_ms(self, place: Place) -> float:
        output_tokens = self.engine.expected_output(place.ask)
        return self.speed.work_ms(place.ask.prompt_tokens, output_tokens)

    def _load_for(self, entry: str, now: float) -> Send:
        """Return the load for an entry and record that it is up to date."""
        self._watchers.record_sent(entry, self._load_version, now)
        return Send(to=entry, call=0, body=self.load(now))

    def _notify_watchers(self, now: float) -> list[Send]:
        """Send the load to the watchers that are due an update."""
        return [
            self._load_for(name, now)
            for name in self._watchers.due(self._load_version, now)
        ]
