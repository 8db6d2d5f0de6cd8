"""What a feed has published of one target."""

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
    """The last report of a target and the changes at which parts of it count.

    `described_at`, `loaded_at` and `rated_at` are numbers of the feed's
    changes; `published` is the report as it was published.
    """

    slot: int
    described_at: int
    loaded_at: int
    rated_at: int
    published: Heartbeat
    heard_at: float

    def take(self, report: Heartbeat, now: float, change: int, lease_s: float) -> bool:
        """Take in a report; tell whether it is published as a change.

        While its lease had run out, no view told of the target: what changed
        then, some entries do not know.
        """
        lapsed = now - self.heard_at >= lease_s
        self.heard_at = now
        if lapsed or is_described_otherwise(self.published, report):
            self.described_at = change
            self.published = for_entries(report)
            return True
        changed = {}
        if is_loaded_otherwise(self.published.load, report.load):
            self.loaded_at = change
            changed['load'] = report.load
        if is_rated_otherwise(self.published.rates, report.rates):
            self.rated_at = change
            changed['rates'] = report.rates
        self.published = attrs.evolve(self.published, **changed)
        return bool(changed)


def for_entries(report: Heartbeat) -> Heartbeat:
    """Return a report without what entries do not use."""
    return attrs.evolve(report, loaded=())


def is_described_otherwise(known: Heartbeat, report: Heartbeat) -> bool:
    """Tell whether anything but load and speeds has changed that entries use."""
    return not (
        known.incarnation == report.incarnation
        and known.address == report.address
        and known.zone == report.zone
        and known.models == report.models
        and known.services == report.services
        and known.departing == report.departing
        and known.load.window == report.load.window
        and [rate.model for rate in known.rates] == [r.model for r in report.rates]
    )


def is_loaded_otherwise(known: Load, load: Load) -> bool:
    """Tell whether a load differs by so much that a choice may depend on it."""
    return any(
        abs(new - old) > max(LOAD_CHANGE_TOKENS, LOAD_CHANGE_SHARE * old)
        for old, new in (
            (known.prompt_tokens, load.prompt_tokens),
            (known.output_tokens, load.output_tokens),
            (known.promised_prompt_tokens, load.promised_prompt_tokens),
            (known.promised_output_tokens, load.promised_output_tokens),
        )
    )


def is_rated_otherwise(known: tuple[Rate, ...], rates: tuple[Rate, ...]) -> bool:
    """Tell whether a speed differs by so much that a choice may depend on it."""
    return any(
        abs(new - old) > RATE_CHANGE_SHARE * old
        for was, rate in zip(known, rates, strict=True)
        for old, new in ((was.prefill, rate.prefill), (was.decode, rate.decode))
    )
