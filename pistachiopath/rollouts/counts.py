"""What an entry counts of the versions of services during rollouts."""

from __future__ import annotations

import math

import attrs

from ..messages.rollout_totals import (
    OrderTotals,
    RolloutTotals,
    TimeSums,
    VersionTotals,
)
from .sums import RouteSums, Times

FIRST = 'first'
BETWEEN = 'between'


@attrs.define(kw_only=True, frozen=True)
class TryEnd:
    """How a request sent to a replica ended.

    A request that neither was answered nor failed was given back, or its caller
    left.  Times are in ms, 0 if there are none; `prompt_tokens` tells its size.
    """

    is_answered: bool
    is_failed: bool
    prompt_tokens: int
    first_ms: float = 0.0
    between_ms: float = 0.0


@attrs.define
class _Order:
    order: int
    sums: dict[tuple[str, str], RouteSums] = attrs.field(factory=dict)


class EntryCounts:
    """Counts sends and their ends since the entry heard of each order."""

    def __init__(self, *, session: int) -> None:
        self._session = session
        self._orders: dict[str, _Order] = {}

    def begin(self, service: str, order: int) -> None:
        """Count from zero for a new order."""
        known = self._orders.get(service)
        if known is None or known.order != order:
            self._orders[service] = _Order(order)

    def sent(self, service: str, version: str, route: str) -> int:
        """Count a send; return the order's number, 0 if there is none."""
        counted = self._orders.get(service)
        if counted is None:
            return 0
        counted.sums.setdefault((version, route), RouteSums()).sent += 1
        return counted.order

    def ended(
        self, service: str, version: str, route: str, order: int, end: TryEnd
    ) -> None:
        """Count the end of a send that was counted for the same order."""
        counted = self._orders.get(service)
        if counted is None or counted.order != order:
            return
        sums = counted.sums[(version, route)]
        sums.ended += 1
        sums.answered += end.is_answered
        sums.failed += end.is_failed
        size = end.prompt_tokens.bit_length()
        for kind, ms in ((FIRST, end.first_ms), (BETWEEN, end.between_ms)):
            if end.is_answered and ms > 0:
                log = math.log2(ms)
                sums.times.setdefault((kind, size), Times()).add(Times(1, log, log**2))

    def report(self, services: set[str]) -> RolloutTotals | None:
        """Return the totals of services, or None if there are none."""
        orders = tuple(
            OrderTotals(
                service=service,
                order=counted.order,
                versions=tuple(
                    _totals(version, route, sums)
                    for (version, route), sums in counted.sums.items()
                ),
            )
            for service, counted in self._orders.items()
            if service in services
        )
        return RolloutTotals(session=self._session, orders=orders) if orders else None


def _totals(version: str, route: str, sums: RouteSums) -> VersionTotals:
    return VersionTotals(
        version=version,
        route=route,
        sent=sums.sent,
        ended=sums.ended,
        answered=sums.answered,
        failed=sums.failed,
        times=tuple(
            TimeSums(
                kind=kind,
                size=size,
                number=times.number,
                log_sum=round(times.log_sum * 1000),
                log_squares=round(times.log_squares * 1000),
            )
            for (kind, size), times in sums.times.items()
        ),
    )
