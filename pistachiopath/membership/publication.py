"""State of one target as published by a feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.membership import Heartbeat

if TYPE_CHECKING:
    from ..messages.membership import Load, Rate

LOAD_CHANGE_SHARE = 0.1
LOAD_CHANGE_TOKENS = 64
RATE_CHANGE_SHARE = 0.2


@attrs.define(kw_only=True)
class Publication:
    """The published report of a target and the numbers of its last changes.

    `description_change`, `load_change` and `rates_change` are the numbers of
    the feed's changes that last published these parts of the report.
    `heartbeat_at` is the time of the last heartbeat.
    """

    slot: int
    description_change: int
    load_change: int
    rates_change: int
    published: Heartbeat
    heartbeat_at: float

    def update(
        self, report: Heartbeat, now: float, change: int, lease_s: float
    ) -> bool:
        """Record a heartbeat; return whether it is published as a change.

        A target whose lease had expired is described again: no view contained
        it meanwhile, so some entries may have missed changes.
        """
        has_lapsed = now - self.heartbeat_at >= lease_s
        self.heartbeat_at = now
        if has_lapsed or has_description_changed(self.published, report):
            self.description_change = change
            self.published = without_loaded_models(report)
            return True
        changes = {}
        if has_load_changed(self.published.load, report.load):
            self.load_change = change
            changes['load'] = report.load
        if have_rates_changed(self.published.rates, report.rates):
            self.rates_change = change
            changes['rates'] = report.rates
        self.published = attrs.evolve(self.published, **changes)
        return bool(changes)


def without_loaded_models(report: Heartbeat) -> Heartbeat:
    """Return a report without the loaded models, which entries do not use."""
    return attrs.evolve(report, loaded=())


def has_description_changed(published: Heartbeat, report: Heartbeat) -> bool:
    """Return whether a part that entries use has changed, except load and speeds."""
    return not (
        published.incarnation == report.incarnation
        and published.address == report.address
        and published.zone == report.zone
        and published.models == report.models
        and published.services == report.services
        and published.departing == report.departing
        and published.load.window == report.load.window
        and [rate.model for rate in published.rates] == [r.model for r in report.rates]
    )


def has_load_changed(published: Load, load: Load) -> bool:
    """Return whether the load has changed enough to affect a choice of target.

    Only token counts are compared, not the numbers of requests.
    """
    return any(
        abs(new - old) > max(LOAD_CHANGE_TOKENS, LOAD_CHANGE_SHARE * old)
        for old, new in (
            (published.prompt_tokens, load.prompt_tokens),
            (published.output_tokens, load.output_tokens),
            (published.promised_prompt_tokens, load.promised_prompt_tokens),
            (published.promised_output_tokens, load.promised_output_tokens),
        )
    )


def have_rates_changed(published: tuple[Rate, ...], rates: tuple[Rate, ...]) -> bool:
    """Return whether a speed has changed enough to affect a choice of target."""
    return any(
        abs(new - old) > RATE_CHANGE_SHARE * old
        for before, after in zip(published, rates, strict=True)
        for old, new in (
            (before.prefill, after.prefill),
            (before.decode, after.decode),
        )
    )
