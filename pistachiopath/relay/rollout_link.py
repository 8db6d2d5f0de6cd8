"""An entry's part in rollouts: the split, the counts and the reports."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import attrs

from ..rollouts.counts import EntryCounts, TryEnd
from ..rollouts.split import TrafficSplit, serving_versions
from ..rollouts.state import RolloutState
from ..streams.service_version import version_of
from ..util.loop_part import LoopPart
from .ended import Delivered, Lost, TargetFailed
from .work import Work

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..messages.base import Message
    from ..messages.directory import News, ReplicaRecord
    from ..messages.rollouts import RolloutRecord
    from ..rollouts.bounds import RolloutBounds
    from ..routing.placement import Candidate
    from ..telemetry.metrics import Metrics
    from .ended import ExchangeResult

logger = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.5
SERVING_CACHE_S = 0.1


@attrs.define(kw_only=True)
class CountedTry:
    """A send that was counted, until its end is."""

    counts: EntryCounts
    work: Work
    version: str
    order: int
    last_event: int | None

    def ended(self, result: ExchangeResult | None, first_ms: int) -> None:
        """Count the end; `result` is None if the caller left or its time was over."""
        work = self.work
        is_late = result is None and not work.remaining_s(time.monotonic())
        is_failed = isinstance(result, (TargetFailed, Lost)) or (
            is_late and not first_ms
        )
        self.counts.ended(
            work.admitted.service,
            self.version,
            work.admitted.route.name,
            self.order,
            TryEnd(
                is_answered=isinstance(result, Delivered),
                is_failed=is_failed,
                prompt_tokens=work.req.prompt_tokens,
                first_ms=first_ms,
                between_ms=self._between_ms(first_ms),
            ),
        )

    def _between_ms(self, first_ms: int) -> float:
        """Return the mean time between the events of this try, 0 if there are few."""
        work = self.work
        number = (work.last_event or 0) - (self.last_event or 0)
        if number < 2:
            return 0.0
        spent_s = work.last_event_at - work.sent_at - first_ms / 1000
        return max(0.0, spent_s * 1000 / number)


class RolloutLink:
    """Splits new requests as the rollouts in force say, and reports what came of it.

    `ready` returns the replicas that accept new requests, `is_silent` tells which of
    them were not heard lately, and `main` is the control node to report to.  `now` is
    a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        split: TrafficSplit,
        counts: EntryCounts,
        ready: Callable[[], list[ReplicaRecord]],
        is_silent: Callable[[str, float], bool],
        main: Callable[[float], str],
        send: Callable[[str, int, Message], None],
        metrics: Metrics,
    ) -> None:
        self._split = split
        self._counts = counts
        self._ready = ready
        self._is_silent = is_silent
        self._serving: dict[str, tuple[float, dict[str, int]]] = {}
        self._main = main
        self._send = send
        self._metrics = metrics
        self._exposed: dict[str, bool] = {}

    def parts(self) -> list[LoopPart]:
        """Return the timers of this part."""
        return [LoopPart(name='rollouts', run=self.tick, interval_s=REPORT_INTERVAL_S)]

    def on_news(self, body: News, now: float) -> None:
        """Follow the rollouts that a control node has told."""
        for record in self._split.on_notices(body.rollouts, now):
            self._counts.begin(record.service, record.order)
            self._metrics.set(
                'rollout_share_ppm', record.share_ppm, service=record.service
            )
        self._log_exposed(now)

    def split(
        self, work: Work, found: list[Candidate], now: float, *, is_placed: bool
    ) -> list[Candidate]:
        """Return the candidates of the version that a new request goes to.

        A request for the new version goes to an old one if no replica of the new one
        can take it.  One that is placed may stay at any version that is allowed.
        """
        service = work.admitted.service
        record = self._split.record(service)
        if record is None:
            return found
        serving = self._versions(service, now)
        allowed = self._split.allowed(service, serving, now)
        kept = [c for c in found if version_of(c.record).version in allowed]
        if is_placed or not self._split.is_drawn(service, serving, now):
            return kept
        work.split_choice = choice = self._split.choose(
            service,
            work.admitted.route.name,
            work.sends,
            work.split_choice,
        )
        old = [c for c in kept if version_of(c.record).version != record.to]
        if choice is None or not choice.is_new:
            return old
        new = {
            c.record.replica: c
            for c in kept
            if version_of(c.record).version == record.to and not c.is_silent
        }
        canaries = self._split.canaries(service, list(new), serving)
        return [new[name] for name in new if name in canaries] or old

    def may_send(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether new requests may still go to a chosen replica.

        The rollout may have changed while the request waited for a place.
        """
        if self._split.record(record.service) is None:
            return True
        serving = self._versions(record.service, now)
        allowed = self._split.allowed(record.service, serving, now)
        return version_of(record).version in allowed

    def sent(self, work: Work, record: ReplicaRecord) -> CountedTry | None:
        """Count a send during a rollout; its end is to be told to the result."""
        rollout = self._split.record(record.service)
        if rollout is None or rollout.state != RolloutState.ACTIVE:
            return None
        version = version_of(record).version
        order = self._counts.sent(record.service, version, work.admitted.route.name)
        self._metrics.count(
            'rollout_sends_total',
            service=record.service,
            is_new=str(version == rollout.to).lower(),
        )
        return CountedTry(
            counts=self._counts,
            work=work,
            version=version,
            order=order,
            last_event=work.last_event,
        )

    def tick(self, now: float) -> None:
        """Report the totals of active rollouts."""
        self._log_exposed(now)
        active = {record.service for record in self._records() if _is_active(record)}
        main = self._main(now)
        report = self._counts.report(active) if active and main else None
        if report is not None:
            self._send(main, 0, report)

    def _versions(self, service: str, now: float) -> dict[str, int]:
        """Return the number of replicas by version, of those that serve.

        Waiting requests ask for it many times a second.
        """
        known_at, serving = self._serving.get(service, (0.0, {}))
        if not serving or now - known_at >= SERVING_CACHE_S:
            ready = [r for r in self._ready() if r.service == service]
            heard = [r for r in ready if not self._is_silent(r.replica, now)]
            serving = serving_versions(heard or ready, service)
            self._serving[service] = (now, serving)
        return serving

    def _records(self) -> list[RolloutRecord]:
        records = (self._split.record(service) for service in self._split.services)
        return [record for record in records if record is not None]

    def _log_exposed(self, now: float) -> None:
        """Log where new requests begin or cease to go to a new version."""
        for record in self._records():
            is_exposed = _is_active(record) and self._split.is_exposed(
                record.service, now
            )
            if self._exposed.get(record.service, False) == is_exposed:
                continue
            self._exposed[record.service] = is_exposed
            logger.info(
                'rollout_exposed' if is_exposed else 'rollout_not_exposed',
                extra={
                    'service': record.service,
                    'to': record.to,
                    'order': record.order,
                    'serial': record.serial,
                    'state': record.state,
                    'stage': record.stage,
                    'share_ppm': record.share_ppm,
                },
            )


def make_rollout_link(
    *,
    bounds: RolloutBounds,
    rng: random.Random,
    session: int,
    ready: Callable[[], list[ReplicaRecord]],
    is_silent: Callable[[str, float], bool],
    main: Callable[[float], str],
    send: Callable[[str, int, Message], None],
    metrics: Metrics,
) -> RolloutLink:
    """Return an entry's part in rollouts."""
    return RolloutLink(
        split=TrafficSplit(contact_s=bounds.contact_s, rng=rng),
        counts=EntryCounts(session=session),
        ready=ready,
        is_silent=is_silent,
        main=main,
        send=send,
        metrics=metrics,
    )


def _is_active(record: RolloutRecord) -> bool:
    return record.state == RolloutState.ACTIVE
