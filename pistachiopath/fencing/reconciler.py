"""Orders that bring engines to the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.fencing import Order

if TYPE_CHECKING:
    from ..configuration.configuration import ModelPlacement
    from ..messages.fencing import LoadedModel
    from ..messages.membership import Heartbeat

LOADING_SHARE = 10
ORDER_TIMEOUT_S = 30.0


@attrs.define(kw_only=True, frozen=True)
class AddressedOrder:
    """An order and the target that it is for."""

    target: str
    order: Order


class Reconciler:
    """Decides which target loads what, a few at a time.

    At most a tenth of the targets of a model load at once, and one that
    serves is taken away only while another one goes on serving, unless the
    model has a single target.  `now` is in seconds.
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
            orders += self._orders_of(placement, placements, manageable, now)
        return orders

    def _orders_of(
        self,
        wanted: ModelPlacement,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
        now: float,
    ) -> list[AddressedOrder]:
        hosts = [r for r in reports if _find(r, wanted.name)]
        ready = [r for r in hosts if _find(r, wanted.name).ready]
        loading = [r for r in hosts if r not in ready]
        pending = [r for r in reports if self._is_pending(r, now) and r not in loading]
        room = max(1, wanted.replicas // LOADING_SHARE) - len(loading) - len(pending)
        if room <= 0 or not wanted.replicas:
            return []
        if len(hosts) < wanted.replicas:
            spare = self._spare(wanted, placements, reports)
            if spare:
                replaced = spare[0].loaded[0].model
                return [self._order(spare[0], wanted, replaced, now)]
        outdated = [r for r in ready if not _matches(_find(r, wanted.name), wanted)]
        if len(ready) == 1 and len(hosts) > 1:
            return []
        outdated.sort(key=lambda r: (r.load.running + r.load.queued, r.target))
        return [self._order(r, wanted, '', now) for r in outdated[:1]]

    def _spare(
        self,
        wanted: ModelPlacement,
        placements: tuple[ModelPlacement, ...],
        reports: list[Heartbeat],
    ) -> list[Heartbeat]:
        """Return targets whose model has more of them than it is to have."""
        replicas = {p.name: p.replicas for p in placements}
        counts: dict[str, int] = {}
        for report in reports:
            for loaded in report.loaded:
                counts[loaded.model] = counts.get(loaded.model, 0) + 1
        return [
            report
            for report in sorted(reports, key=lambda r: r.target)
            if not _find(report, wanted.name)
            and all(m.ready for m in report.loaded)
            and all(counts[m.model] > replicas.get(m.model, 0) for m in report.loaded)
        ]

    def _order(
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
        """Tell whether an order was sent and does not show in reports yet."""
        at = self._ordered_at.get(report.target)
        if at is None:
            return False
        shown = any(not m.ready for m in report.loaded)
        if shown or now - at >= ORDER_TIMEOUT_S:
            del self._ordered_at[report.target]
            return False
        return True


def _find(report: Heartbeat, model: str) -> LoadedModel | None:
    return next((m for m in report.loaded if m.model == model), None)


def _matches(loaded: LoadedModel, wanted: ModelPlacement) -> bool:
    return loaded.version == wanted.version and loaded.adapters == wanted.adapters
