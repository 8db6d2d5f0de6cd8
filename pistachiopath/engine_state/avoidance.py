"""Avoidance of engines that fail more often than the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

Item = TypeVar('Item')

# An engine at which 45 of 100 runs fail, beside one without failures, is considered
# for 9 of 100 requests.  Those keep the measurement alive.
EXPONENT = 4


def weights(shares: Sequence[float | None]) -> list[float]:
    """Return for each engine the part of the requests that consider it.

    It depends on how much more often its runs fail than those of the engine with the
    fewest failures.  None stands for an engine whose share is not known.

    >>> weights([0.0, 0.5, None])
    [1.0, 0.0625, 1.0]
    """
    known = [share for share in shares if share is not None]
    best = 1.0 - min(known, default=0.0)
    return [
        1.0 if share is None or best <= 0.0 else ((1.0 - share) / best) ** EXPONENT
        for share in shares
    ]


def considered(
    items: list[Item], shares: Sequence[float | None], rng: random.Random
) -> list[Item]:
    """Return the engines to choose from for one request.

    Each request draws anew, so that entries do not all leave an engine at once.  The
    engine with the fewest failures is always among them.
    """
    if not any(shares):
        return items
    drawn = zip(items, weights(shares), strict=True)
    return [item for item, weight in drawn if weight >= 1.0 or rng.random() < weight]
