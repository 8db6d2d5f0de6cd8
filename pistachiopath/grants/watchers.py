"""Entries that watch the load of an engine."""

from __future__ import annotations

import attrs

# More frequent reports would be of no use to an entry.
MIN_PERIOD_S = 0.03
WATCH_LEASE_S = 3.0


@attrs.define(kw_only=True)
class _Watcher:
    """A watching entry, its period, and the version of the load last sent."""

    renewed_at: float
    period_s: float
    sent_at: float
    sent_version: int


class Watchers:
    """Tracks the watching entries and when each is due an update.

    `version` is the number of the current load; each change increments it.
    `now` is a monotonic clock in seconds.
    """

    def __init__(self) -> None:
        self._watchers: dict[str, _Watcher] = {}

    def watch(self, name: str, period_ms: int, version: int, now: float) -> None:
        """Add an entry or renew its watch, and record that it is sent the load."""
        self._watchers[name] = _Watcher(
            renewed_at=now,
            period_s=max(MIN_PERIOD_S, period_ms / 1000),
            sent_at=now,
            sent_version=version,
        )

    def record_sent(self, name: str, version: int, now: float) -> None:
        """Record that an entry was sent the load; ignored if it does not watch."""
        watcher = self._watchers.get(name)
        if watcher is not None:
            watcher.sent_at = now
            watcher.sent_version = version

    def remove(self, name: str) -> None:
        """Remove an entry that is unreachable."""
        self._watchers.pop(name, None)

    def names(self) -> list[str]:
        """Return the watching entries."""
        return list(self._watchers)

    def due(self, version: int, now: float) -> list[str]:
        """Return the entries to send the load to, and drop expired watches."""
        names = []
        for name, watcher in list(self._watchers.items()):
            if now - watcher.renewed_at >= WATCH_LEASE_S:
                del self._watchers[name]
            elif watcher.sent_version == version:
                continue
            elif now - watcher.sent_at >= watcher.period_s:
                names.append(name)
        return names
