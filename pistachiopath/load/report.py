"""Table of results by tier."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .result import Result

HEADER = (
    f'{"tier":<12}{"sent":>6}{"in time":>9}{"goodput":>9}'
    f'{"first p50":>11}{"first p95":>11}{"total p95":>11}  outcomes'
)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by nearest rank, or zero if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def table(results: list[Result]) -> str:
    """Return the table as text, with one line for each tier."""
    tiers = list(dict.fromkeys(r.arrival.kind.tier for r in results))
    lines = [HEADER]
    for tier in sorted(tiers):
        lines.append(
            _tier_line(tier, [r for r in results if r.arrival.kind.tier == tier])
        )
    return '\n'.join(lines)


def _tier_line(tier: str, results: list[Result]) -> str:
    in_time = sum(1 for r in results if r.in_time)
    first = [r.first_byte_s for r in results if r.is_correct]
    total = [r.total_s for r in results if r.is_correct]
    outcomes = Counter(r.outcome for r in results)
    outcome_counts = ' '.join(
        f'{name}={count}' for name, count in sorted(outcomes.items())
    )
    return (
        f'{tier:<12}{len(results):>6}{in_time:>9}{in_time / len(results):>9.1%}'
        f'{quantile(first, 0.5):>10.3f}s{quantile(first, 0.95):>10.3f}s'
        f'{quantile(total, 0.95):>10.3f}s  {outcome_counts}'
    )
