"""Rollout records that are committed, and their ages by this node's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.rollouts import RolloutNotice
from .machine import accept, advance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.rollout_orders import AdvanceRollout, OrderRollout
    from ..messages.rollouts import RolloutRecord


# Age of a record from a snapshot, which may be of any time.
UNKNOWN_AGE_S = 3600.0


class RolloutStore:
    """Applies the log's records about rollouts.

    `now` is a monotonic clock in seconds, None while a restart's records are
    applied.  The time since the order of such a record counts from the first turn
    after it, and its age is not known until the leader renews it.
    """

    def __init__(self) -> None:
        self.records: dict[str, RolloutRecord] = {}
        self._applied_at: dict[str, float | None] = {}
        # When the orders were accepted.  A record is older than what it says by the
        # time that its commit took, so the earliest estimate counts.
        self._began_at: dict[str, float] = {}

    def restore(self, records: Iterable[RolloutRecord]) -> None:
        """Replace all records by those of a snapshot."""
        self.records = {record.service: record for record in records}
        self._applied_at = dict.fromkeys(self.records)
        self._began_at.clear()

    def turn(self, now: float) -> None:
        """Begin to measure the times since the orders of restored records."""
        for service, record in self.records.items():
            if service not in self._began_at:
                self._began_at[service] = now - record.elapsed_ms / 1000

    def apply_order(self, order: OrderRollout, now: float | None) -> bool:
        """Apply an order; return whether it is refused."""
        record, is_refused = accept(self.records.get(order.service), order)
        self._put(record, now)
        return is_refused

    def apply_advance(self, body: AdvanceRollout, now: float | None) -> None:
        """Apply a change; one of a service without a rollout changes nothing."""
        service = body.record.service
        if service in self.records:
            self._put(advance(self.records[service], body), now)

    def age_s(self, service: str, now: float) -> float:
        """Return how long ago the current record of a service was applied."""
        applied_at = self._applied_at.get(service)
        return UNKNOWN_AGE_S if applied_at is None else max(0.0, now - applied_at)

    def elapsed_s(self, service: str, now: float) -> float:
        """Return the time since the current order of a service was accepted."""
        return max(0.0, now - self._began_at.get(service, now))

    def stamped(self, order: OrderRollout, repeat_s: float, now: float) -> OrderRollout:
        """Return an order with the ages that the log needs to tell a repeat."""
        record = self.records.get(order.service)
        if record is None:
            return order
        elapsed_s = self.elapsed_s(order.service, now)
        ages_s = {p.order: p.age_ms / 1000 + elapsed_s for p in record.past}
        ages_s[record.order] = elapsed_s
        expired = [number for number, age_s in ages_s.items() if age_s >= repeat_s]
        return attrs.evolve(
            order,
            known_order=record.order,
            known_age_ms=int(elapsed_s * 1000),
            expired_order=max(expired, default=0),
        )

    def notices(self, now: float) -> tuple[RolloutNotice, ...]:
        """Return the records in force with their ages."""
        return tuple(
            RolloutNotice(record=record, age_ms=int(self.age_s(service, now) * 1000))
            for service, record in self.records.items()
        )

    def _put(self, record: RolloutRecord, now: float | None) -> None:
        service = record.service
        known = self.records.get(service)
        if known is record:
            return
        if known is not None and known.order != record.order:
            self._began_at.pop(service, None)
        self.records[service] = record
        self._applied_at[service] = now
        if now is not None:
            began_at = now - record.elapsed_ms / 1000
            known_at = self._began_at.get(service, began_at)
            self._began_at[service] = min(known_at, began_at)
