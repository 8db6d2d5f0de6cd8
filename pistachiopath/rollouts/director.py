"""Decisions of the leader about the rollouts that are active."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from ..messages.rollout_orders import AdvanceRollout
from . import exposure
from .judgement import Verdict, judge, judge_silence
from .state import RolloutStage, RolloutState
from .sums import Comparison, TotalsBook

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..messages.rollout_totals import RolloutTotals
    from ..messages.rollouts import RolloutRecord
    from .bounds import RolloutBounds
    from .store import RolloutStore

# The age of the record tells entries that they are in contact with the leader.
RENEW_INTERVAL_S = 0.5
SNAPSHOT_INTERVAL_S = 0.5
PROPOSE_AGAIN_S = 0.3
# A version that turns bad late shows in its last seconds first.
WINDOW_S = 3.0
# Requests have ended by then at a version that answers.
SILENCE_S = 2.5
# The rate of requests is known after this time.
RATE_AFTER_S = 1.0
# A rollout without enough answers is given up after this multiple of its duration.
GIVE_UP_FACTOR = 2.0
# Entries have reported by then to a leader that is new or has stood still.
SETTLE_S = 1.2
STANDSTILL_S = 1.0
# Fewer replicas than this share of the old ones can't take the whole traffic.
MIN_REPLICAS_SHARE = 0.25
# Mean time until a send is in the totals.
REPORT_LAG_S = 0.3
PPM = 1_000_000


@attrs.define
class _Watched:
    """What the leader knows of one order; a new leader begins without it.

    `lost` are requests to the version and to all that the record counts and no entry
    reports to this leader: entries that have ended since sent them.
    """

    order: int
    since: float
    book: TotalsBook = attrs.field(factory=TotalsBook)
    history: deque[tuple[float, Comparison]] = attrs.field(factory=deque)
    judged: tuple[Comparison, Comparison] | None = None
    verdict: Verdict | None = None
    lost: tuple[int, int] | None = None


class RolloutDirector:
    """Proposes changes of active rollouts by the totals of entries.

    `ready` returns the number of replicas of a service that serve, by version.
    `now` is a monotonic clock in seconds.
    """

    def __init__(
        self, *, bounds: RolloutBounds, ready: Callable[[str, float], Mapping[str, int]]
    ) -> None:
        self._bounds = bounds
        self._ready = ready
        self._watched: dict[str, _Watched] = {}
        self._turn_at: float | None = None
        self._proposed: dict[str, tuple[int, float]] = {}

    def reset(self) -> None:
        """Forget all totals: another node leads."""
        self._watched.clear()
        self._proposed.clear()

    def merge(
        self, entry: str, body: RolloutTotals, store: RolloutStore, now: float
    ) -> None:
        """Take an entry's totals of the current orders."""
        for totals in body.orders:
            record = store.records.get(totals.service)
            if record is not None and record.order == totals.order:
                watched = self._watch(record, now)
                watched.book.merge(entry, body.session, totals)

    def turn(self, store: RolloutStore, now: float) -> list[AdvanceRollout]:
        """Return the changes that are due."""
        if self._turn_at is not None and now - self._turn_at >= STANDSTILL_S:
            for watched in self._watched.values():
                watched.since = now
        self._turn_at = now
        changes = []
        for service, record in store.records.items():
            if record.state != RolloutState.ACTIVE:
                self._watched.pop(service, None)
                continue
            elapsed_s = store.elapsed_s(service, now)
            changed = self._next(record, elapsed_s, now)
            is_due = store.age_s(service, now) >= RENEW_INTERVAL_S
            is_wanted = is_due or _is_change(record, changed)
            if is_wanted and not self._is_proposed(record, now):
                self._proposed[service] = (record.serial, now)
                changes.append(AdvanceRollout(expected=record.serial, record=changed))
        return changes

    def _is_proposed(self, record: RolloutRecord, now: float) -> bool:
        """Return whether a change of a record is on its way through the log."""
        serial, at = self._proposed.get(record.service, (0, 0.0))
        return serial == record.serial and now - at < PROPOSE_AGAIN_S

    def _watch(self, record: RolloutRecord, now: float) -> _Watched:
        watched = self._watched.get(record.service)
        if watched is None or watched.order != record.order:
            watched = self._watched[record.service] = _Watched(record.order, now)
        return watched

    def _next(
        self, record: RolloutRecord, elapsed_s: float, now: float
    ) -> RolloutRecord:
        """Return the record as it should be now."""
        watched = self._watch(record, now)
        data = watched.book.compare(record.to)
        verdict = self._judge(watched, data, now)
        if watched.lost is None and now - watched.since >= SETTLE_S:
            watched.lost = (
                max(0, record.sent_new - data.sent_new),
                max(0, record.sent_all - data.sent_all),
            )
        lost_new, lost_all = watched.lost or (0, 0)
        record = attrs.evolve(
            record,
            elapsed_ms=int(elapsed_s * 1000),
            sent_new=max(record.sent_new, data.sent_new + lost_new),
            sent_all=max(record.sent_all, data.sent_all + lost_all),
        )
        if verdict.is_bad:
            return _ended(record, RolloutState.ROLLED_BACK, verdict.reason)
        rate = _rate(watched, record, elapsed_s, now)
        may_move = self._has_replicas(record, now)
        if record.stage == RolloutStage.CANARY:
            is_good = verdict.is_enough and may_move
            return self._canary(record, elapsed_s, rate, is_good=is_good)
        if not may_move:
            return attrs.evolve(
                record,
                stage=RolloutStage.CANARY,
                stage_ms=record.elapsed_ms,
                share_ppm=0,
            )
        if now - watched.since < SETTLE_S:
            return record
        if record.stage == RolloutStage.STEP:
            return _step(record, elapsed_s)
        return self._full(record, data, elapsed_s, rate)

    def _has_replicas(self, record: RolloutRecord, now: float) -> bool:
        """Return whether the version has the replicas to take the whole traffic."""
        ready = dict(self._ready(record.service, now))
        new = ready.pop(record.to, 0)
        old = sum(n for version, n in ready.items() if version not in record.barred)
        return new >= max(1.0, MIN_REPLICAS_SHARE * old)

    def _judge(self, watched: _Watched, data: Comparison, now: float) -> Verdict:
        """Judge the whole rollout and its last seconds."""
        history = watched.history
        if not history or now - history[-1][0] >= SNAPSHOT_INTERVAL_S:
            history.append((now, data))
        while len(history) > 1 and now - history[1][0] >= WINDOW_S:
            history.popleft()
        judged = (data, history[0][1])
        is_same = watched.judged is not None and all(
            a is b for a, b in zip(judged, watched.judged, strict=True)
        )
        if not is_same:
            watched.judged = judged
            is_long_ago = now - history[0][0] >= SILENCE_S
            watched.verdict = _judge_both(*judged, is_long_ago=is_long_ago)
        return watched.verdict

    def _canary(
        self, record: RolloutRecord, elapsed_s: float, rate: float, *, is_good: bool
    ) -> RolloutRecord:
        if elapsed_s >= GIVE_UP_FACTOR * record.duration_ms / 1000:
            return _ended(record, RolloutState.ROLLED_BACK, 'too_few_answers')
        if not rate:
            share = exposure.initial_share(self._bounds)
            return attrs.evolve(record, share_ppm=int(share * PPM))
        plan = self._schedule(record, elapsed_s, rate)
        if elapsed_s >= plan.step_at and is_good:
            return attrs.evolve(
                record,
                stage=RolloutStage.STEP,
                stage_ms=record.elapsed_ms,
                share_ppm=int(exposure.STEP_SHARE * PPM),
                step_ms=int(plan.step_s * 1000),
                full_ms=int(plan.full_s * 1000),
            )
        share = exposure.canary_share(
            plan, elapsed_s=elapsed_s, sent_new=record.sent_new, rate=rate
        )
        return attrs.evolve(record, share_ppm=int(share * PPM))

    def _full(
        self, record: RolloutRecord, data: Comparison, elapsed_s: float, rate: float
    ) -> RolloutRecord:
        """Complete the rollout once the runs on the old version had time to end.

        That is earlier where more requests came than were expected: then the bound
        is used up.
        """
        in_stage_s = elapsed_s - record.stage_ms / 1000
        if in_stage_s < exposure.MIN_STAGE_S:
            return record
        allowed = self._schedule(record, elapsed_s, rate).allowed
        has_ended = in_stage_s >= 2 * RENEW_INTERVAL_S and not data.open_old
        sent_new = record.sent_new + rate * REPORT_LAG_S
        is_over = in_stage_s >= record.full_ms / 1000 or sent_new >= allowed
        if is_over or has_ended:
            return _ended(record, RolloutState.COMPLETE, 'good')
        return record

    def _schedule(
        self, record: RolloutRecord, elapsed_s: float, rate: float
    ) -> exposure.Schedule:
        return exposure.schedule(
            self._bounds,
            duration_s=record.duration_ms / 1000,
            elapsed_s=elapsed_s,
            sent_all=record.sent_all,
            rate=rate,
        )


def _judge_both(data: Comparison, earlier: Comparison, *, is_long_ago: bool) -> Verdict:
    """Judge all data, and what has come since earlier data."""
    verdict = judge(data)
    if verdict.is_bad:
        return verdict
    silence = judge_silence(data, earlier) if is_long_ago else ''
    if silence:
        return attrs.evolve(verdict, is_bad=True, reason=silence)
    lately = judge(data.minus(earlier))
    return attrs.evolve(verdict, is_bad=lately.is_bad, reason=lately.reason)


def _step(record: RolloutRecord, elapsed_s: float) -> RolloutRecord:
    if elapsed_s - record.stage_ms / 1000 < record.step_ms / 1000:
        return record
    return attrs.evolve(
        record,
        stage=RolloutStage.FULL,
        stage_ms=record.elapsed_ms,
        share_ppm=PPM,
    )


def _ended(record: RolloutRecord, state: RolloutState, reason: str) -> RolloutRecord:
    share_ppm = PPM if state is RolloutState.COMPLETE else 0
    return attrs.evolve(record, state=state, share_ppm=share_ppm, reason=reason)


def _rate(
    watched: _Watched, record: RolloutRecord, elapsed_s: float, now: float
) -> float:
    """Return the requests per second lately, 0 if it is not known yet."""
    (at, earlier), (_, latest) = watched.history[0], watched.history[-1]
    span_s = watched.history[-1][0] - at
    # A leader that has just begun holds no earlier totals to compare with.
    if span_s >= RATE_AFTER_S and earlier.sent_all:
        return (latest.sent_all - earlier.sent_all) / span_s
    if elapsed_s < RATE_AFTER_S:
        return 0.0
    return record.sent_all / elapsed_s


def _is_change(before: RolloutRecord, after: RolloutRecord) -> bool:
    """Return whether entries have to know at once."""
    return is_urgent(before) != is_urgent(after)


def is_urgent(record: RolloutRecord) -> tuple:
    """Return what of a record entries have to know at once."""
    return (record.order, record.state, record.stage, record.share_ppm > 0)
