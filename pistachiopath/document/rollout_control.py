"""A control node's part in rollouts: totals, the leader's changes, notices."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs

from ..directory.replica_state import ReplicaState
from ..effects import Send
from ..rollouts.director import RolloutDirector, is_urgent
from ..rollouts.split import serving_versions

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..directory.announcer import Announcer
    from ..messages.rollout_orders import AdvanceRollout
    from ..messages.rollout_totals import RolloutTotals
    from ..messages.rollouts import RolloutNotice, RolloutRecord
    from ..rollouts.bounds import RolloutBounds
    from ..telemetry.metrics import Metrics
    from .core import DocumentCore

logger = logging.getLogger(__name__)


class RolloutControl:
    """Passes entries' totals to the leader, which changes rollouts by them.

    Without `bounds` there are no rollouts.  `core` returns the node's replica of the
    log, and `propose` hands it a change.
    Methods return effects.  `now` is a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        bounds: RolloutBounds | None,
        core: Callable[[], DocumentCore],
        announcer: Announcer,
        propose: Callable[[AdvanceRollout], None],
        metrics: Metrics | None = None,
    ) -> None:
        self._core = core
        self._announcer = announcer
        self._propose = propose
        self._metrics = metrics
        self._director: RolloutDirector | None = None
        self._known: dict[str, tuple] = {}
        if bounds is not None:
            self._director = RolloutDirector(bounds=bounds, ready=self._ready)
            announcer.rollouts = self._notices

    def on_totals(self, sender: str, body: RolloutTotals, now: float) -> list[Send]:
        """Take an entry's totals, or pass them on to the leader.

        Totals that were passed on already go no further: the leader has changed.
        """
        if self._director is None:
            return []
        core = self._core()
        if core.is_leader:
            self._director.merge(body.entry or sender, body, core.rollouts, now)
            return []
        if body.entry or not core.leader:
            return []
        passed_on = attrs.evolve(body, entry=sender)
        return [Send(to=core.leader, call=0, body=passed_on)]

    def tick(self, now: float) -> list[Send]:
        """Propose the changes that are due; tell followers what has changed."""
        if self._director is None:
            return []
        core = self._core()
        if core.is_leader:
            for change in self._director.turn(core.rollouts, now):
                self._propose(change)
        else:
            self._director.reset()
        changed = [
            record
            for service, record in core.rollouts.records.items()
            if self._known.get(service) != is_urgent(record)
        ]
        for record in changed:
            self._known[record.service] = is_urgent(record)
            self._record_change(record, is_leader=core.is_leader)
        return self._announcer.push(now) if changed else []

    def _record_change(self, record: RolloutRecord, *, is_leader: bool) -> None:
        logger.info(
            'rollout_changed',
            extra={
                'service': record.service,
                'to': record.to,
                'order': record.order,
                'serial': record.serial,
                'state': record.state,
                'stage': record.stage,
                'share_ppm': record.share_ppm,
                'elapsed_ms': record.elapsed_ms,
                'sent_new': record.sent_new,
                'sent_all': record.sent_all,
                'reason': record.reason,
                'is_leader': is_leader,
            },
        )
        if self._metrics is not None:
            self._metrics.count(
                'rollout_changes_total', state=record.state, stage=record.stage
            )

    def _notices(self, now: float) -> tuple[RolloutNotice, ...]:
        return self._core().rollouts.notices(now)

    def _ready(self, service: str, now: float) -> Mapping[str, int]:
        """Return the number of replicas of a service that serve, by version.

        Silent ones serve only if all are: then they can't reach the control nodes.
        """
        silent = frozenset(self._announcer.silent(now))
        ready = [
            record
            for record in self._announcer.directory.records()
            if record.state == ReplicaState.READY and record.service == service
        ]
        heard = [record for record in ready if record.replica not in silent]
        return serving_versions(heard or ready, service)
