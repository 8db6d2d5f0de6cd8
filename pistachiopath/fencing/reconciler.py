"""Orders that bring engines to the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.fencing import Order

if TYPE_CHECKING:
    from ..configuration.configuration import ModelPlacement
    from ..messages.fencing import LoadedModel
    from ..messages.membership import Heartbeat

# At most 1/LOADING_DIVISOR of a model's targets load at once, but at least one may.
LOADING_DIVISOR = 10
ORDER_TIMEOUT_S = 30.0


@attrs.define(kw_only=True, frozen=True)
class AddressedOrder:
    """An order and the target to which it is sent."""

    target: str
    order: Order


class Reconciler:
    """Decides which targets load which models, a few at a time.

    At most a tenth of a model's targets load at once, but at least one may.
    A target that serves a model is updated only while another one continues
    to serve it, unless the model has a single target.  `now` is in seconds.
    """

    def __init__(self, *, fence: int) -> None:
        self._fence = fence
        self._ordered_at: dict[str, float] = {}

    def orders(
        self,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
        now: float,
    ) -> list[AddressedOrder]:
        """Return the orders that are due now."""
        manageable = [r for r in reports if r.loaded and not r.departing]
        orders: list[AddressedOrder] = []
        for placement in placements:
            orders += self._orders_for(placement, placements, manageable, now)
        return orders

    def _orders_for(
        self,
        wanted: ModelPlacement,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
        now: float,
    ) -> list[AddressedOrder]:
        assigned = [r for r in reports if _loaded_model(r, wanted.name)]
        ready = [r for r in assigned if _loaded_model(r, wanted.name).ready]
        loading = [r for r in assigned if r not in ready]
        pending = [r for r in reports if self._is_pending(r, now) and r not in loading]
        free_loads = (
            max(1, wanted.replicas // LOADING_DIVISOR) - len(loading) - len(pending)
        )
        if free_loads <= 0 or not wanted.replicas:
            return []
        if len(assigned) < wanted.replicas:
            surplus = self._surplus(wanted, placements, reports)
            if surplus:
                replaced = surplus[0].loaded[0].model
                return [self._issue_order(surplus[0], wanted, replaced, now)]
        outdated = [
            r for r in ready if not _matches(_loaded_model(r, wanted.name), wanted)
        ]
        if len(ready) == 1 and len(assigned) > 1:
            return []
        outdated.sort(key=lambda r: (r.load.running + r.load.queued, r.target))
        return [self._issue_order(r, wanted, '', now) for r in outdated[:1]]

    def _surplus(
        self,
        wanted: ModelPlacement,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
    ) -> list[Heartbeat]:
        """Return ready targets of other models that have more targets than wanted."""
        replicas = {p.name: p.replicas for p in placements}
        counts: dict[str, int] = {}
        for report in reports:
            for loaded in report.loaded:
                counts[loaded.model] = counts.get(loaded.model, 0) + 1
        return [
            report
            for report in sorted(reports, key=lambda r: r.target)
            if not _loaded_model(report, wanted.name)
            and all(m.ready for m in report.loaded)
            and all(counts[m.model] > replicas.get(m.model, 0) for m in report.loaded)
        ]

    def _issue_order(
        self, report: Heartbeat, wanted: ModelPlacement, replaces: str, now: float
    ) -> AddressedOrder:
        self._ordered_at[report.target] = now
        order = Order(
            fence=self._fence,
            incarnation=report.incarnation,
            model=wanted.name,
            version=wanted.version,
            adapters=wanted.adapters,
            replaces=replaces,
        )
        return AddressedOrder(target=report.target, order=order)

    def _is_pending(self, report: Heartbeat, now: float) -> bool:
        """Return whether an order was sent but has no visible effect in reports yet.

        An order is dropped from the record once its target reports that it is
        loading, or after `ORDER_TIMEOUT_S`, when it counts as lost.
        """
        ordered_at = self._ordered_at.get(report.target)
        if ordered_at is None:
            return False
        is_loading = any(not m.ready for m in report.loaded)
        if is_loading or now - ordered_at >= ORDER_TIMEOUT_S:
            del self._ordered_at[report.target]
            return False
        return True


def _loaded_model(report: Heartbeat, model: str) -> LoadedModel | None:
    return next((m for m in report.loaded if m.model == model), None)


def _matches(loaded: LoadedModel, wanted: ModelPlacement) -> bool:
    return loaded.version == wanted.version and loaded.adapters == wanted.adapters
