"""Finds a replica and a place before its engine for a request."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..errors.relay import GateLost, PlaceDenied, TurnedAway
from ..messages.grants import Ask

if TYPE_CHECKING:
    import random

    from ..messages.directory import ReplicaRecord
    from ..routing.placement import Candidate, Placement
    from .places import Grant, Places
    from .targets import Targets
    from .work import Work

logger = logging.getLogger(__name__)

NO_TARGET_RETRY_S = 0.5
NO_TARGET_PAUSE_S = 0.02
# Replicas announce themselves within about a second of a restart.
NO_TARGET_WAIT_SHARE = 0.4
# Callers come back within a third of the time that they have left.
RETURN_PARTS = 3.1
RETURN_SPREAD = 1.6
# Callers give a stream up after the longest of these without an event.
GAP_MIN_S = 2.0
GAP_OBJECTIVES = 4.0
GAP_PAUSES = 8.0
# The first event has to be made in what is left of that gap.
GAP_SHARE = 0.9
# Who moves to another gate loses its place in line.  So it moves where it will
# not wait again and saves this much, or where it saves far more.
MOVE_GAIN_MS = 40.0
MOVE_FAR_GAIN_MS = 800.0
# Who has just come has no place in line to lose, and looks at a few gates.
JUST_ASKED_S = 0.1
MAX_LOOKS = 3
# One gate may misjudge a wait; two that say the same are believed.
MAX_DENIALS = 2


class Placer:
    """Chooses a replica, waits for its place, and moves on to a better one.

    Raises `TurnedAway` for a request that can't be placed in time.
    """

    def __init__(
        self,
        *,
        places: Places,
        placement: Placement,
        targets: Targets,
        rng: random.Random,
    ) -> None:
        self._places = places
        self._placement = placement
        self._targets = targets
        self._rng = rng

    def choose(self, work: Work) -> Candidate:
        """Return a replica, waiting a little for a first one."""
        wait_s = NO_TARGET_WAIT_SHARE * work.admitted.route.objective_s
        until = time.monotonic() + wait_s
        while True:
            now = time.monotonic()
            chosen = self._placement.choose(self._candidates(work, now), work.need, now)
            if chosen is not None:
                return chosen
            if now >= until:
                raise TurnedAway(
                    status=503, reason='no_target', retry_after_s=NO_TARGET_RETRY_S
                )
            gevent.sleep(NO_TARGET_PAUSE_S)

    def _candidates(self, work: Work, now: float) -> list[Candidate]:
        """Return the replicas that were not tried yet, or else all."""
        service = work.admitted.service
        open_ones = self._targets.candidates(service, work.excluded | work.denied, now)
        if open_ones:
            return open_ones
        untried = self._targets.candidates(service, work.excluded, now)
        return untried or self._targets.candidates(service, set(), now)

    def ended(self, record: ReplicaRecord, now: float) -> None:
        """Take in that the lifetime of a replica is over."""
        self._targets.ended(record, now)

    def acquire(self, work: Work, candidate: Candidate) -> Grant | None:
        """Wait for a place; None where the request has to be placed anew."""
        began = time.monotonic()
        route = work.admitted.route
        customer = work.admitted.customer
        objective_s = route.objective_s - (began - work.asked_at)
        ask = Ask(
            request=f'{work.req.request_id}.{work.tries}',
            tier=work.admitted.tier,
            customer=customer.name if customer else '',
            prompt_tokens=work.req.prompt_tokens,
            output_tokens=work.req.output_tokens,
            objective_ms=max(0, int(objective_s * 1000)),
            deadline_ms=int(work.left_s(began) * 1000),
            patience_ms=max(1, int(self._patience_s(work, began) * 1000)),
            slots=candidate.record.slots,
            customer_tier=work.admitted.customer_tier,
        )
        gate = self._targets.gate(candidate.record)
        try:
            return self._places.acquire(
                gate, ask, lambda: self._is_better_elsewhere(work, candidate, began)
            )
        except PlaceDenied as exc:
            replica = candidate.record.replica
            is_new = replica not in work.denied
            work.denied.add(replica)
            if is_new and len(work.denied) < MAX_DENIALS:
                return None
            retry_after_s = self._return_s(work, exc.retry_after_s)
            raise TurnedAway(
                status=503, reason='no_place', retry_after_s=retry_after_s
            ) from exc
        except GateLost:
            logger.warning(
                'gate_lost', extra={'request': work.req.request_id, 'gate': gate}
            )
            return None
        finally:
            work.waited_s += time.monotonic() - began

    def _return_s(self, work: Work, wait_s: float) -> float:
        """Return when a caller without a place should come back.

        Soon enough to be in time if there is a place by then; spread, so that
        those of a burst do not come back together.
        """
        most_s = work.left_s(time.monotonic()) / RETURN_PARTS
        return min(most_s, wait_s * self._rng.uniform(1.0, RETURN_SPREAD))

    @staticmethod
    def _patience_s(work: Work, now: float) -> float:
        """Return how long a caller waits for the first sign of its answer.

        Callers of streams leave after a gap that follows from the route.
        """
        route = work.admitted.route
        left_s = work.left_s(now)
        if not route.is_stream:
            return left_s
        gap_s = max(
            GAP_MIN_S, GAP_OBJECTIVES * route.objective_s, GAP_PAUSES * route.pause_s
        )
        return min(left_s, max(0.0, work.began_at + GAP_SHARE * gap_s - now))

    def _is_better_elsewhere(
        self, work: Work, candidate: Candidate, asked_at: float
    ) -> bool:
        """Tell whether a waiting request should ask another gate."""
        now = time.monotonic()
        record = candidate.record
        others = self._targets.candidates(work.admitted.service, set(), now)
        here = [c for c in others if c.record.replica == record.replica]
        if not here or not here[0].is_gated:
            return True
        best = self._placement.choose(others, work.need, now)
        if best is None or best.record.replica == record.replica:
            return False
        need = work.need
        typical_ms = self._placement.typical_wait_ms(others, need)
        saved = self._placement.cost(here[0], need, 0, now, typical_ms)
        saved -= self._placement.cost(best, need, 0, now, typical_ms)
        if best.load is None and now - asked_at < JUST_ASKED_S:
            looks = work.looks < MAX_LOOKS and saved > MOVE_GAIN_MS
            work.looks += looks
            return looks
        if self._placement.has_room(best, need):
            return saved > MOVE_GAIN_MS
        return saved > MOVE_FAR_GAIN_MS
