"""The report of a run as a plot."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from matplotlib.figure import Figure

from .fault_kind import NOTICED_KINDS

if TYPE_CHECKING:
    from pathlib import Path

    from .history import History

WIDTH_IN = 12.0
HEIGHT_IN = 9.0
# A fault without a duration is drawn this long.
MIN_FAULT_S = 0.3


def save_plot(history: History, path: Path) -> None:
    """Draw requests by outcome, waits and faults over the time of a run."""
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN), layout='constrained')
    requests, waits, faults = figure.subplots(3, sharex=True, height_ratios=(2, 2, 3))
    _draw_requests(requests, history)
    _draw_waits(waits, history)
    _draw_faults(faults, history)
    faults.set_xlabel('seconds of the run')
    figure.savefig(path)


def _draw_requests(axes: object, history: History) -> None:
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for attempt in history.attempts:
        second = int(attempt.began_at - history.started_at)
        counts[attempt.label][second] += 1
    seconds = range(math.ceil(history.ended_at - history.started_at))
    names = sorted(counts)
    rows = [[counts[name][second] for second in seconds] for name in names]
    axes.set_ylabel('requests a second')
    if names:
        axes.stackplot(seconds, rows, labels=names)
        axes.legend(loc='upper left', ncols=len(names), fontsize='small')


def _draw_waits(axes: object, history: History) -> None:
    answered = [a for a in history.attempts if a.head_at < math.inf]
    began_s = [a.began_at - history.started_at for a in answered]
    waited_s = [a.head_at - a.began_at for a in answered]
    axes.plot(began_s, waited_s, '.', markersize=2)
    axes.set_ylabel('seconds until a response')


def _draw_faults(axes: object, history: History) -> None:
    planned = [f for f in history.faults if f.kind not in NOTICED_KINDS]
    kinds = sorted({fault.kind for fault in planned}, reverse=True)
    for fault in planned:
        until = min(fault.ended_at, history.ended_at)
        width_s = max(MIN_FAULT_S, until - fault.began_at)
        axes.barh(
            kinds.index(fault.kind), width_s, left=fault.began_at - history.started_at
        )
    axes.set_yticks(range(len(kinds)), labels=kinds, fontsize='small')
