"""Rendezvous hashing: nodes agree on an order of names without messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def by_weight(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their pseudo-random weight for a key.

    All nodes get the same order for the same key, and different keys spread the
    first place evenly.  Removing a name does not change the order of the others.

    >>> by_weight('e1', ['c1', 'c2', 'c3']) == by_weight('e1', ['c3', 'c1', 'c2'])
    True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key} {name}'.encode()),
        reverse=True,
    )
