"""A route and the services that share its requests."""

from __future__ import annotations

import attrs

from .repetition import Repetition


@attrs.define(kw_only=True, frozen=True)
class Share:
    """The share of a route's requests that one service gets."""

    service: str
    weight: float


@attrs.define(kw_only=True, frozen=True)
class Route:
    """Destination and terms of the requests for a host and path prefix.

    `objective_s` is the time to the first event of a stream, or to the whole
    answer, within which it is worth most.  `max_targets` limits how many
    targets one attempt of a caller may be sent to.  Tier 0 is the most urgent.
    `pause_s` is the longest pause between events for which a stream is on
    time.  Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repetition: Repetition
    is_stream: bool
    timeout_s: float
    objective_s: float
    tier: int = 0
    max_targets: int = 1
    pause_s: float = 0.0
    is_public: bool = False
    follows_prompt: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.repetition is not Repetition.ONCE
