"""Entries that watch the load of an engine."""

from __future__ import annotations

import attrs

# A shorter period would tell more than anyone can act on.
MIN_PERIOD_S = 0.03
WATCH_LEASE_S = 3.0


@attrs.define(kw_only=True)
class _Watcher:
    """An entry, how often it wants to hear, and what it was last told."""

    heard_at: float
    period_s: float
    told_at: float
    told_change: int


class Watchers:
    """Knows whom to tell of a change, each with its own pause between.

    Changes are numbered; `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._watchers: dict[str, _Watcher] = {}

    def watch(self, name: str, period_ms: int, change: int, now: float) -> None:
        """Take in that an entry watches; it is told the load at once."""
        self._watchers[name] = _Watcher(
            heard_at=now,
            period_s=max(MIN_PERIOD_S, period_ms / 1000),
            told_at=now,
            told_change=change,
        )

    def told(self, name: str, change: int, now: float) -> None:
        """Take note that an entry was told the load, whether it watches or not."""
        watcher = self._watchers.get(name)
        if watcher is not None:
            watcher.told_at = now
            watcher.told_change = change

    def lost(self, name: str) -> None:
        """Forget an entry that is out of reach."""
        self._watchers.pop(name, None)

    def due(self, change: int, now: float) -> list[str]:
        """Return the entries to tell now; forget those that watch no more."""
        names = []
        for name, watcher in list(self._watchers.items()):
            if now - watcher.heard_at >= WATCH_LEASE_S:
                del self._watchers[name]
            elif watcher.told_change == change:
                continue
            elif now - watcher.told_at >= watcher.period_s:
                names.append(name)
        return names
