"""Choice between the versions of a rollout for one send."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, frozen=True)
class SplitChoice:
    """Whether one send of a request goes to the new version of an order.

    `send` tells the sends of a request apart.
    """

    order: int
    send: tuple[int, ...]
    is_new: bool
