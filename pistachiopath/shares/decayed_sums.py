"""Sums whose entries lose weight with their age."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

K = TypeVar('K')

# Time in which the weight of an entry falls to 1/e: the last seconds.
DECAY_S = 3.0
# Bounds the memory; the smallest sums are dropped first.
MAX_KEYS = 2000


def decay(age_s: float) -> float:
    """Return the weight of an entry of a given age."""
    return math.exp(-age_s / DECAY_S)


class DecayedSums(Generic[K]):
    """Exponentially decayed sums by key.

    >>> sums = DecayedSums()
    >>> sums.add('a', 10.0, now=0.0)
    >>> round(sums.all(now=DECAY_S)['a'], 2)
    3.68
    """

    def __init__(self) -> None:
        self._sums: dict[K, float] = {}
        self._updated_at = 0.0
        self._started_at: float | None = None

    def add(self, key: K, amount: float, now: float) -> None:
        """Add an amount, which may be a negative correction of an earlier one."""
        if self._started_at is None:
            self._started_at = now
            self._updated_at = now
        self._decay(now)
        self._sums[key] = max(0.0, self._sums.get(key, 0.0) + amount)
        if len(self._sums) > MAX_KEYS:
            largest = sorted(self._sums.items(), key=lambda item: -item[1])
            self._sums = dict(largest[: MAX_KEYS // 2])

    def all(self, now: float) -> dict[K, float]:
        """Return the sums at present."""
        self._decay(now)
        return self._sums

    def window_s(self, now: float) -> float:
        """Return what one unit per second would have added up to.

        It is less than `DECAY_S` shortly after the first entry.
        """
        in_use_s = 0.0 if self._started_at is None else max(0.0, now - self._started_at)
        return DECAY_S * (1.0 - decay(in_use_s))

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        factor = decay(now - self._updated_at)
        self._updated_at = now
        self._sums = {key: value * factor for key, value in self._sums.items()}
