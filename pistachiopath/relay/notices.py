"""Acts on what replicas say of themselves in their answers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..exchange.answer import AnswerHead
    from ..messages.directory import ReplicaRecord
    from ..routing.replica_health import ReplicaHealth
    from ..telemetry.metrics import Metrics
    from .dialect import Dialect
    from .targets import Targets

logger = logging.getLogger(__name__)


class Notices:
    """Believes replicas that leave, and those that want to be left alone.

    Both beliefs hold for the lifetime that answered, in this entry only: a
    replica that states something false loses requests of the entries that it
    answered, and no others.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        targets: Targets,
        health: ReplicaHealth,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._targets = targets
        self._health = health
        self._metrics = metrics

    def record(self, request: str, record: ReplicaRecord, head: AnswerHead) -> None:
        """Take in the head of an answer of a replica."""
        notice = self._dialect.notice(head)
        if notice.is_empty:
            return
        now = time.monotonic()
        fields = {
            'request': request,
            'replica': record.replica,
            'born_ms': record.born_ms,
        }
        if notice.is_leaving and self._targets.mark_leaving(record, now):
            self._count('leaving')
            logger.info('replica_leaving', extra={**fields, 'source': 'answer'})
        if notice.quiet_s > 0:
            self._health.wants_quiet(
                record.replica, record.born_ms, notice.quiet_s, now
            )
            self._count('quiet')
            logger.info('replica_quiet', extra={**fields, 'quiet_s': notice.quiet_s})
        if notice.unreadable:
            self._count('unreadable')
            logger.warning(
                'replica_quiet_unreadable',
                extra={**fields, 'value': notice.unreadable},
            )

    def prune(self, now: float) -> None:
        """Log the wishes to be left alone that have ended."""
        for replica in self._health.take_ended_quiet(now):
            logger.info('replica_quiet_ended', extra={'replica': replica})

    def _count(self, kind: str) -> None:
        self._metrics.count('replica_notices_total', kind=kind)
