"""Max-min fair shares of a capacity."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def fair_share(wants: Iterable[float], capacity: float) -> float:
    """Return the most that anyone gets if the capacity is shared max-min fairly.

    Who wants less gets all of it; the others get equal shares.  The result is
    infinite if everyone gets what they want.

    >>> fair_share([10.0, 40.0, 90.0], 90.0)
    40.0
    >>> fair_share([10.0, 20.0], 90.0)
    inf
    """
    ordered = sorted(wants)
    left = capacity
    for number, want in enumerate(ordered):
        equal = left / (len(ordered) - number)
        if want > equal:
            return equal
        left -= want
    return math.inf
