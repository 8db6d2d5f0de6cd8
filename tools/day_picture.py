"""Summarizes the requests of a day by tier and outcome, as a table and a plot.

python -m tools.day_picture LOG [--objectives 500,400,400] [--out FILE.svg]
"""

from __future__ import annotations

import argparse
import collections
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt

from tools.day_log import (
    END_KINDS,
    FAILED,
    IN_TIME,
    LATE,
    REFUSED,
    DayRequest,
    read_day,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_OBJECTIVE_S = 0.4
COLOURS = {IN_TIME: '#4c9f70', LATE: '#e0b84c', REFUSED: '#8b9bb4', FAILED: '#c0504d'}
METADATA = {'Date': None, 'Creator': None}


@attrs.define(kw_only=True)
class TierSummary:
    """Outcomes and times of the requests of one tier; times in seconds."""

    ends: collections.Counter = attrs.field(factory=collections.Counter)
    reasons: collections.Counter = attrs.field(factory=collections.Counter)
    by_second: dict[str, collections.Counter] = attrs.field(
        factory=lambda: {end_kind: collections.Counter() for end_kind in END_KINDS}
    )
    waits: list[float] = attrs.field(factory=list)
    refusal_waits: list[float] = attrs.field(factory=list)
    engine_s: float = 0.0
    wasted_s: float = 0.0
    resend_count: int = 0

    def add(self, req: DayRequest, objective_s: float) -> None:
        """Count one request."""
        end_kind = req.end_kind(objective_s)
        self.ends[end_kind] += 1
        self.by_second[end_kind][int(req.started_at // 1)] += 1
        self.engine_s += req.engine_s
        self.resend_count += max(0, req.sends - 1)
        if end_kind == REFUSED:
            self.reasons[req.outcome] += 1
            self.refusal_waits.append(req.waited_s)
        elif end_kind == FAILED:
            self.reasons[req.outcome] += 1
            self.wasted_s += req.engine_s
        else:
            self.waits.append(req.waited_s)


def summarize_by_tier(
    requests: Sequence[DayRequest], objectives_s: Sequence[float]
) -> dict[int, TierSummary]:
    """Return a summary by tier; a tier without an objective gets 0.4 s."""
    summaries: dict[int, TierSummary] = {}
    for req in requests:
        has_objective = req.tier < len(objectives_s)
        objective_s = objectives_s[req.tier] if has_objective else DEFAULT_OBJECTIVE_S
        summaries.setdefault(req.tier, TierSummary()).add(req, objective_s)
    return dict(sorted(summaries.items()))


def mean_places_held(requests: Sequence[DayRequest]) -> dict[int, float]:
    """Return the mean number of places held before engines, by second."""
    places_held: collections.Counter = collections.Counter()
    for req in requests:
        at = req.ended_at - req.engine_s
        while at < req.ended_at:
            second = int(at // 1)
            until = min(req.ended_at, second + 1)
            places_held[second] += until - at
            at = until
    return dict(sorted(places_held.items()))


def table(summaries: dict[int, TierSummary]) -> str:
    """Return the figures of all tiers as text."""
    lines = []
    for tier, summary in summaries.items():
        total = sum(summary.ends.values())
        shares = ', '.join(
            f'{end_kind} {count} ({count / total:.0%})'
            for end_kind, count in summary.ends.most_common()
        )
        reasons = ', '.join(f'{r} {n}' for r, n in summary.reasons.most_common())
        lines += [
            f'tier {tier}: {total} requests: {shares}',
            f'  not served for: {reasons or "-"}',
            f'  waited (s): median {quantile(summary.waits, 0.5):.3f}, '
            f'95 in 100 {quantile(summary.waits, 0.95):.3f}; before a refusal '
            f'{quantile(summary.refusal_waits, 0.5):.3f}, '
            f'{quantile(summary.refusal_waits, 0.95):.3f}',
            f'  engine time (s): {summary.engine_s:.0f}, of which never finished '
            f'{summary.wasted_s:.0f}; sent again {summary.resend_count}',
        ]
    return '\n'.join(lines)


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def draw(
    summaries: dict[int, TierSummary], places_held: dict[int, float], path: Path
) -> None:
    """Write a plot of the ends of each tier by second, and of the places held."""
    mpl.rcParams |= {'svg.hashsalt': 'pistachiopath', 'svg.fonttype': 'none'}
    rows = len(summaries) + 1
    fig, axes = plt.subplots(
        rows, 1, figsize=(9, 1.9 * rows), sharex=True, layout='constrained'
    )
    for axis, (tier, summary) in zip(axes, summaries.items(), strict=False):
        _draw_tier(axis, tier, summary)
    axes[-1].step(
        list(places_held), list(places_held.values()), where='post', color='#444444'
    )
    axes[-1].set_ylabel('places held', fontsize=8)
    axes[-1].set_xlabel('second of arrival', fontsize=8)
    handles, labels = axes[0].get_legend_handles_labels()
    fig.legend(
        handles, labels, fontsize=7, ncols=len(END_KINDS), loc='outside upper right'
    )
    fig.savefig(path, metadata=METADATA)
    plt.close(fig)


def _draw_tier(axis: plt.Axes, tier: int, summary: TierSummary) -> None:
    seen_seconds = {s for counts in summary.by_second.values() for s in counts}
    seconds = list(range(min(seen_seconds), max(seen_seconds) + 2))
    layers = [
        [summary.by_second[end_kind][s] for s in seconds] for end_kind in END_KINDS
    ]
    colours = [COLOURS[end_kind] for end_kind in END_KINDS]
    axis.stackplot(seconds, layers, labels=END_KINDS, colors=colours, step='post')
    axis.set_ylabel(f'tier {tier}, requests/s', fontsize=8)


def main() -> None:
    """Print the table of a day and write its plot."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('log', type=Path, help='log of the entries of a day')
    parser.add_argument(
        '--objectives',
        default='',
        metavar='MS,MS,...',
        help='objective of the first event by tier, in ms (default 400)',
    )
    parser.add_argument('--out', type=Path, help='SVG file for the plot')
    args = parser.parse_args()
    with args.log.open(errors='replace') as file:
        requests = list(read_day(file))
    objectives_s = [int(ms) / 1000 for ms in args.objectives.split(',') if ms]
    summaries = summarize_by_tier(requests, objectives_s)
    print(table(summaries))
    if args.out and summaries:
        draw(summaries, mean_places_held(requests), args.out)


if __name__ == '__main__':
    main()
