"""Counters and histograms in the Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Holds counters and histograms of durations, by name and labels.

    Durations are recorded in microseconds.

    >>> metrics = Metrics()
    >>> metrics.count('requests_total', tier='notice')
    >>> print(metrics.render())
    pistachiopath_requests_total{tier="notice"} 1
    """

    def __init__(self) -> None:
        self._counters: Counter = Counter()
        self._histograms: dict[tuple, HdrHistogram] = {}

    def count(self, name: str, number: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters[(name, tuple(sorted(labels.items())))] += number

    def set(self, name: str, number: int, **labels: str) -> None:
        """Set a counter whose value is maintained elsewhere."""
        self._counters[(name, tuple(sorted(labels.items())))] = number

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            # Imported here, because a program has to start before it can observe.
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def render(self) -> str:
        """Return all metrics as text, with durations in seconds."""
        lines = [
            f'pistachiopath_{name}{_labels(labels)} {value}'
            for (name, labels), value in sorted(self._counters.items())
        ]
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            for quantile in QUANTILES:
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                quantile_label = ('quantile', f'{quantile / 100:g}')
                text = _labels((*labels, quantile_label))
                lines.append(f'pistachiopath_{name}_seconds{text} {seconds}')
            count = histogram.get_total_count()
            lines.append(f'pistachiopath_{name}_seconds_count{_labels(labels)} {count}')
        return '\n'.join(lines)


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ''
    return '{' + ','.join(f'{key}="{_escaped(value)}"' for key, value in labels) + '}'


def _escaped(value: str) -> str:
    return value.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')
