"""Log lines and metrics of a gate's decisions."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..telemetry.metrics import Metrics

if TYPE_CHECKING:
    from .denial_cause import DenialCause
    from .occupancy import Occupancy
    from .place import Place
    from .wait_estimate import WaitEstimate

logger = logging.getLogger(__name__)


class GateLog:
    """Logs and counts each granted and each denied place.

    Times are seconds of the gate's clock.
    """

    def __init__(self, *, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()

    def granted(
        self, place: Place, occupancy: Occupancy, now: float, *, by_turn: bool
    ) -> None:
        """Record a grant; `occupancy` is that before the grant."""
        waited_s = now - place.asked_at
        is_late = place.is_late(now)
        tier = str(place.ask.tier)
        self._metrics.count('gate_grants_total', tier=tier, late=str(is_late))
        self._metrics.observe('gate_wait', waited_s, tier=tier)
        logger.info(
            'place_granted',
            extra={
                **_request_fields(place, now),
                'waited_ms': int(waited_s * 1000),
                'by_turn': by_turn,
                **occupancy.log_fields(),
            },
        )

    def denied(
        self,
        place: Place,
        cause: DenialCause,
        estimate: WaitEstimate,
        occupancy: Occupancy,
        now: float,
    ) -> None:
        """Record a denial, with the estimate that led to it."""
        tier = str(place.ask.tier)
        self._metrics.count('gate_denials_total', tier=tier, cause=cause.value)
        if place.ask.spent_ms:
            self._metrics.count('gate_denied_returns_total', tier=tier)
        logger.info(
            'place_denied',
            extra={
                **_request_fields(place, now),
                'waited_ms': int((now - place.asked_at) * 1000),
                'cause': cause.value,
                'ahead': estimate.ahead,
                'by_work_ms': int(estimate.by_work_ms),
                'by_rate_ms': int(estimate.by_rate_ms),
                'grants_per_s': round(estimate.grants_per_s, 2),
                **occupancy.log_fields(),
            },
        )

    def shortage(
        self, *, has_begun: bool, span_s: float, waiting: int, customers: int
    ) -> None:
        """Record that a shortage of capacity begins, or has ended after `span_s`."""
        self._metrics.set('gate_is_short', int(has_begun))
        if has_begun:
            self._metrics.count('gate_shortages_total')
        logger.info(
            'gate_shortage',
            extra={
                'has_begun': has_begun,
                'span_ms': int(span_s * 1000),
                'waiting': waiting,
                'customers': customers,
            },
        )


def _request_fields(place: Place, now: float) -> dict[str, str | int]:
    fields: dict[str, str | int] = {}
    if place.ask.is_final_urgent:
        fields = {'customer': place.ask.customer, 'spent_ms': place.ask.spent_ms}
    return {
        **fields,
        'request': place.ask.request,
        'tier': place.ask.tier,
        'objective_left_ms': int((place.objective_at - now) * 1000),
        'patience_left_ms': int((place.patience_at - now) * 1000),
    }
