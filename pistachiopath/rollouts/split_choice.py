"""Choice between the versions of a rollout for one send."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class SplitChoice:
    """Whether one send of a request goes to the new version of an order.

    `send` counts those before it.  A send that does not reach its replica keeps its
    choice: otherwise requests would go to the new version where the old one fails.
    """

    order: int
    send: int
    is_new: bool
