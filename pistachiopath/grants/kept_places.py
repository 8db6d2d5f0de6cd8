"""Number of an engine's places that are reserved for more urgent tiers."""

from __future__ import annotations

# Long runs of the third and less urgent tiers could occupy all places, so they
# leave one free.  On an engine with few places the second tier leaves one too;
# with more places, one becomes free soon anyway.
MIN_SLOTS_TO_KEEP = 4
FEW_SLOTS = 6


def kept_places(index: int, slots: int) -> int:
    """Return the places that a tier leaves free; the most urgent has index 0.

    >>> [kept_places(index, 6) for index in (0, 1, 2)]
    [0, 1, 1]
    >>> [kept_places(index, 8) for index in (0, 1, 2)]
    [0, 0, 1]
    """
    if not index or slots < MIN_SLOTS_TO_KEEP:
        return 0
    return 1 if index > 1 or slots <= FEW_SLOTS else 0
