"""State machine of a service's rollout record.

Its results depend on the records of the log alone, so all nodes agree on them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.rollouts import PastOrder, RolloutRecord
from .state import RolloutStage, RolloutState

if TYPE_CHECKING:
    from ..messages.rollout_orders import AdvanceRollout, OrderRollout

MAX_PAST = 4
MAX_VERSIONS = 32


def accept(
    current: RolloutRecord | None, order: OrderRollout
) -> tuple[RolloutRecord, bool]:
    """Return the record after an order, and whether the order is refused.

    A repeat of an accepted order changes nothing, whatever became of the order.
    """
    if current is None:
        return _first(order), False
    if is_repeat(current, order):
        return current, False
    if current.state == RolloutState.ACTIVE:
        return current, True
    return _next(current, order), False


def is_repeat(current: RolloutRecord, order: OrderRollout) -> bool:
    """Return whether an order has been accepted before.

    The order of an active rollout may be repeated at any time.
    """
    if order.to == current.to and current.state == RolloutState.ACTIVE:
        return True
    accepted = [(current.to, current.order), *((p.to, p.order) for p in current.past)]
    return any(
        to == order.to and number > order.expired_order for to, number in accepted
    )


def advance(current: RolloutRecord | None, body: AdvanceRollout) -> RolloutRecord:
    """Return the record after a change that the leader proposed.

    A change of a record that has been replaced since changes nothing.
    """
    if current is None:
        raise KeyError(body.record.service)
    is_outdated = body.expected != current.serial
    if is_outdated or current.state != RolloutState.ACTIVE:
        return current
    return attrs.evolve(
        body.record,
        service=current.service,
        to=current.to,
        order=current.order,
        serial=current.serial + 1,
        duration_ms=current.duration_ms,
        earlier=current.earlier,
        barred=current.barred,
        past=current.past,
    )


def _first(order: OrderRollout) -> RolloutRecord:
    return RolloutRecord(
        service=order.service,
        to=order.to,
        order=1,
        serial=1,
        duration_ms=order.duration_ms,
        elapsed_ms=0,
        state=RolloutState.ACTIVE,
        stage=RolloutStage.CANARY,
        share_ppm=0,
        earlier=tuple(v for v in order.serving if v != order.to)[:MAX_VERSIONS],
    )


def _next(current: RolloutRecord, order: OrderRollout) -> RolloutRecord:
    """Return the record of an order that follows a rollout that has ended."""
    is_known = order.known_order == current.order
    age_ms = order.known_age_ms if is_known else current.elapsed_ms
    past = (
        PastOrder(to=current.to, order=current.order, age_ms=age_ms),
        *(attrs.evolve(p, age_ms=p.age_ms + age_ms) for p in current.past),
    )
    ended = current.earlier if current.state == RolloutState.COMPLETE else (current.to,)
    barred = dict.fromkeys(v for v in (*ended, *current.barred) if v != order.to)
    first = _first(order)
    return attrs.evolve(
        first,
        order=current.order + 1,
        serial=current.serial + 1,
        earlier=tuple(v for v in first.earlier if v not in barred),
        barred=tuple(barred)[:MAX_VERSIONS],
        past=past[:MAX_PAST],
    )
