"""Times for which one process is known to have run at an address without a gap."""

from __future__ import annotations

import math

import attrs

# Streams and their callers' returns are over by then.
RETENTION_S = 120.0
MAX_SPANS_PER_ADDRESS = 32


@attrs.define(kw_only=True)
class ProcessSpan:
    """One process ran at an address at least from `since` to `until`."""

    since: float
    until: float


class ProcessSpans:
    """Joins what the connections to an address show of the process there.

    A connection leads to one process from its opening on, and shows that it ran for
    as long as bytes arrive.  Two connections that overlap lead to the same process,
    so a busy replica has one span since its start, however short its connections.
    A process that starts again has no connection in common with the one before.
    Times are seconds of a monotonic clock.

    >>> spans = ProcessSpans()
    >>> spans.heard('a:1', opened_at=1.0, now=5.0)
    >>> spans.heard('a:1', opened_at=4.0, now=7.0)
    >>> spans.around('a:1', 4.5).since
    1.0
    """

    def __init__(self) -> None:
        self._spans: dict[str, list[ProcessSpan]] = {}

    def heard(self, address: str, opened_at: float, now: float) -> None:
        """Record bytes on a connection that its target has not ended."""
        joined = ProcessSpan(since=opened_at, until=now)
        apart = []
        for span in self._spans.get(address, ()):
            if span.until < opened_at:
                apart.append(span)
            else:
                joined.since = min(joined.since, span.since)
                joined.until = max(joined.until, span.until)
        self._spans[address] = [*apart, joined][-MAX_SPANS_PER_ADDRESS:]

    def around(self, address: str, at: float) -> ProcessSpan:
        """Return the span of the process that ran at a time, just that if unknown."""
        for span in reversed(self._spans.get(address, ())):
            if span.since <= at <= span.until:
                return span
        return ProcessSpan(since=at, until=at)

    def heard_at(self, address: str) -> float:
        """Return when an address was heard last, -infinity if never."""
        spans = self._spans.get(address)
        return spans[-1].until if spans else -math.inf

    def prune(self, now: float) -> None:
        """Delete spans that ended long ago."""
        for address, spans in list(self._spans.items()):
            kept = [s for s in spans if now - s.until < RETENTION_S]
            if kept:
                self._spans[address] = kept
            else:
                del self._spans[address]
