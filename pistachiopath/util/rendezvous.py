"""Choices that many nodes make alike, or spread evenly, without messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def by_weight(key: str, names: Iterable[str]) -> list[str]:
    """Return names by falling random weight for a key.

    Nodes with the same key agree; a name that goes changes no other's order.

    >>> by_weight('e1', ['c1', 'c2', 'c3']) == by_weight('e1', ['c3', 'c1', 'c2'])
    True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key} {name}'.encode()),
        reverse=True,
    )
