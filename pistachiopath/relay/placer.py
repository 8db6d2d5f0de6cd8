"""Choice of a replica for a request, and the wait for a place at its gate."""

from __future__ import annotations

import itertools
import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..errors.relay import GateLost, PlaceDenied, TurnedAway
from ..messages.grants import Ask
from ..streams.service_version import version_of
from ..util.arrivals import handle_arrivals
from .own_gates import OwnGates
from .patience import patience_s
from .retry_after import retry_after_s

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..messages.directory import ReplicaRecord
    from ..routing.placement import Candidate, Placement
    from .places import Grant, Places
    from .rollout_link import RolloutLink
    from .targets import Targets
    from .work import Work

logger = logging.getLogger(__name__)

NO_TARGET_RETRY_AFTER_S = 0.5
NO_TARGET_POLL_INTERVAL_S = 0.02
# Replicas announce themselves within about a second of a restart.
NO_TARGET_WAIT_SHARE = 0.4
# Bounds the random factor by which the returns of refused callers are spread.
RETRY_AFTER_MAX_FACTOR = 1.6
# A request that moves to another gate loses its position in the queue.  It has to
# save more than `MOVE_GAIN_MS` to move to a gate where it would not wait, and
# more than `MOVE_TO_QUEUE_GAIN_MS` to move to a gate where it would.
MOVE_GAIN_MS = 40.0
MOVE_TO_QUEUE_GAIN_MS = 800.0
# A new request has no position in a queue to lose, so it may also move to a few
# gates whose load is not known.
NEW_REQUEST_S = 0.1
MAX_UNKNOWN_LOAD_MOVES = 3
# One gate may misjudge the wait; the second denial turns the request away.
MAX_DENIALS = 2


class Placer:
    """Chooses a replica, waits for a place, and moves to a better replica.

    Raises `TurnedAway` for a request that can't be placed in time.  A request that
    `is_quarantined` while it waits for a place waits no longer.  `check_wait`
    raises `TurnedAway` for one that must not wait any longer.  `is_at_work` tells
    whether a replica was heard of at its present lifetime just now.
    `await_replica` waits after a start for the first replica of a service, `rollouts`
    splits new requests between versions, and `established` returns the candidates at
    which a resumable stream may begin.
    """

    def __init__(
        self,
        *,
        places: Places,
        placement: Placement,
        targets: Targets,
        is_quarantined: Callable[[Work, float], bool],
        rng: random.Random,
        check_wait: Callable[[Work, float], None] = lambda work, now: None,
        is_at_work: Callable[[ReplicaRecord, float], bool] = lambda record, now: True,
        await_replica: Callable[[Work], None] = lambda work: None,
        rollouts: RolloutLink | None = None,
        established: Callable[[str, list[Candidate], float], list[Candidate]] = (
            lambda service, found, now: found
        ),
    ) -> None:
        self._places = places
        self._placement = placement
        self._targets = targets
        self._is_quarantined = is_quarantined
        self._rng = rng
        self._check_wait = check_wait
        self._is_at_work = is_at_work
        self._await_replica = await_replica
        self._rollouts = rollouts
        self._established = established
        self._serials = itertools.count(1)

    def choose(self, work: Work) -> Candidate:
        """Return a replica; wait up to a share of the objective if there is none."""
        wait_s = NO_TARGET_WAIT_SHARE * work.admitted.route.objective_s
        until = time.monotonic() + wait_s
        self._await_replica(work)
        is_last_look = False
        while True:
            now = time.monotonic()
            self._check_wait(work, now)
            chosen = self._placement.choose(self._candidates(work, now), work.need, now)
            if chosen is not None:
                return chosen
            self._check_version(work, now)
            back_at = self._targets.first_backoff_end(work.admitted.service, now)
            if back_at is not None and back_at > until:
                raise self._all_back_off(back_at - now)
            if is_last_look:
                raise TurnedAway(
                    status=503,
                    reason='no_target',
                    retry_after_s=NO_TARGET_RETRY_AFTER_S,
                )
            if now >= until:
                handle_arrivals()
                is_last_look = True
            else:
                gevent.sleep(NO_TARGET_POLL_INTERVAL_S)

    def _check_version(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` if no replica can go on with the stream."""
        version = work.stream_version
        if version is not None and self._targets.is_version_gone(version, now):
            raise TurnedAway(status=503, reason='version_gone')

    def choose_other(self, work: Work) -> Candidate | None:
        """Return a replica that the request is not excluded from, or None.

        Unlike `choose` it neither waits nor falls back to excluded replicas.
        """
        now = time.monotonic()
        excluded = work.excluded | work.denied
        candidates = self._usable(work, excluded, now)
        return self._placement.choose(candidates, work.need, now)

    def _all_back_off(self, wait_s: float) -> TurnedAway:
        """Return the refusal for a service whose replicas all ask for a backoff.

        The jitter spreads the returns, none of which comes too early.
        """
        return TurnedAway(
            status=503,
            reason='targets_back_off',
            retry_after_s=wait_s * self._rng.uniform(1.0, RETRY_AFTER_MAX_FACTOR),
        )

    def may_send(self, work: Work, record: ReplicaRecord) -> bool:
        """Return whether a chosen replica still accepts the request."""
        now = time.monotonic()
        if work.stream_version is None:
            is_barred = self._rollouts and not self._rollouts.may_send(record, now)
            return not is_barred and self._targets.may_send(record, now)
        return work.may_run_at(record) and self._targets.may_resume(record, now)

    def doubt(self, record: ReplicaRecord, now: float) -> None:
        """Record that a replica's connection broke or was refused."""
        self._targets.doubt(record, now)

    def _candidates(self, work: Work, now: float) -> list[Candidate]:
        """Return the replicas that have neither failed nor denied a place.

        Without any, return those that have not failed, or else all.
        """
        preferred = self._usable(work, work.excluded | work.denied, now)
        if preferred:
            return preferred
        not_failed = self._usable(work, work.excluded, now)
        return not_failed or self._usable(work, set(), now)

    def _usable(
        self, work: Work, excluded: set[str], now: float, *, is_placed: bool = False
    ) -> list[Candidate]:
        """Return the replicas that the request may be sent to, or may stay at.

        A stream goes on only at the version that began it, at a replica that drains
        if there is no other.
        """
        service = work.admitted.service
        found = self._targets.candidates(service, excluded, now)
        if work.stream_version is None:
            if work.stream:
                found = self._established(service, found, now)
            if self._rollouts is None:
                return found
            return self._rollouts.split(work, found, now, is_placed=is_placed)
        same = self._of_same_version(work, found, now)
        if same:
            return same
        draining = self._targets.draining(service, excluded, now)
        return self._of_same_version(work, draining, now)

    def _of_same_version(
        self, work: Work, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the replicas that may go on with a stream.

        Those are preferred of which their other answers prove the version at once.
        """
        same = [
            c
            for c in candidates
            if work.may_run_at(c.record) and self._targets.may_resume(c.record, now)
        ]
        at_work = [c for c in same if self._is_at_work(c.record, now)]
        return at_work or same

    def mark_superseded(self, record: ReplicaRecord, now: float) -> None:
        """Mark the lifetime of a replica as ended."""
        self._targets.mark_superseded(record, now)

    def acquire(self, work: Work, candidate: Candidate) -> Grant | None:
        """Wait for a place; return None if another replica has to be chosen."""
        started_at = time.monotonic()
        route = work.admitted.route
        customer = work.admitted.customer
        objective_s = route.objective_s - (started_at - work.first_attempt_at)
        gate, slots = self._gate(candidate)
        version = version_of(candidate.record)
        stream = work.stream if candidate.is_gated else ''
        is_final_urgent = work.admitted.is_final_urgent
        memory_tokens = candidate.memory_tokens(work.admitted.memory_tokens)
        ask = Ask(
            # A caller may use its request id again while the first request runs.
            request=f'{work.req.request_id}.{work.tries}.{next(self._serials)}',
            tier=work.admitted.tier,
            customer=customer.name if customer else '',
            prompt_tokens=work.req.prompt_tokens,
            output_tokens=work.req.output_tokens,
            objective_ms=max(0, int(objective_s * 1000)),
            deadline_ms=int(work.remaining_s(started_at) * 1000),
            patience_ms=max(1, int(patience_s(work, started_at) * 1000)),
            slots=slots,
            customer_tier=work.admitted.customer_tier,
            stream=stream,
            service=version.service,
            software_version=version.version,
            attempt=work.tries,
            is_resumed=work.stream_version is not None,
            replica=candidate.record.replica if stream else '',
            born_ms=candidate.record.born_ms,
            is_final_urgent=is_final_urgent,
            spent_ms=work.spent_ms if is_final_urgent else 0,
            memory_tokens=memory_tokens if is_final_urgent else 0,
        )
        try:
            return self._places.acquire(
                gate,
                ask,
                lambda: self._should_move(work, candidate, started_at),
            )
        except PlaceDenied as exc:
            replica = candidate.record.replica
            is_new = replica not in work.denied
            work.denied.add(replica)
            if is_new and len(work.denied) < MAX_DENIALS:
                return None
            raise TurnedAway(
                status=503,
                reason='no_place',
                retry_after_s=self._retry_after_s(work, exc.retry_after_s),
            ) from exc
        except GateLost:
            logger.warning(
                'gate_lost', extra={'request': work.req.request_id, 'gate': gate}
            )
            return None
        finally:
            work.waited_s += time.monotonic() - started_at

    def _gate(self, candidate: Candidate) -> tuple[str, int]:
        """Return the address of the gate to ask, and the number of its places."""
        record = candidate.record
        if candidate.is_gated:
            return self._targets.gate(record), record.slots
        return OwnGates.address(record.service), candidate.shared_places

    def _retry_after_s(self, work: Work, wait_s: float) -> float:
        """Return the seconds after which a caller without a place should retry.

        The jitter spreads the retries of callers that were refused in a burst.
        """
        remaining_s = work.remaining_s(time.monotonic())
        wait_s *= self._rng.uniform(1.0, RETRY_AFTER_MAX_FACTOR)
        return retry_after_s(wait_s, remaining_s)

    def _should_move(self, work: Work, candidate: Candidate, asked_at: float) -> bool:
        """Return whether a waiting request should leave this gate."""
        now = time.monotonic()
        self._check_wait(work, now)
        if self._is_quarantined(work, now):
            return True
        record = candidate.record
        known = self._usable(work, set(), now, is_placed=True)
        current = [c for c in known if c.record.replica == record.replica]
        if not current or current[0].is_gated != candidate.is_gated:
            return True
        candidates = self._candidates(work, now)
        best = self._placement.choose(candidates, work.need, now)
        if best is None or best.record.replica == record.replica:
            return False
        if not candidate.is_gated and not best.is_gated:
            # This entry's own places are the same at all engines without a gate.
            return False
        need = work.need
        typical_ms = self._placement.typical_wait_ms(candidates, need)
        saved_ms = self._placement.cost(
            current[0], need, 0, now, typical_ms, is_placed=True
        )
        saved_ms -= self._placement.cost(best, need, 0, now, typical_ms)
        if best.load is None and now - asked_at < NEW_REQUEST_S:
            should_move = (
                work.unknown_load_moves < MAX_UNKNOWN_LOAD_MOVES
                and saved_ms > MOVE_GAIN_MS
            )
            work.unknown_load_moves += should_move
            return should_move
        if self._placement.has_room(best, need):
            return saved_ms > MOVE_GAIN_MS
        return saved_ms > MOVE_TO_QUEUE_GAIN_MS
