"""A customer with its keys and its allowance."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class CustomerAccount:
    """A customer and its allowance.

    The allowance is in tokens if `counts_tokens` is true, else in requests.
    It refills at `rate_per_s` up to `burst`; a customer with a rate of 0 is not
    limited.  `tier` orders requests of the same route tier.  If tokens
    are counted, a request without a token count costs `plain_cost`.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_cost: float = 1.0
