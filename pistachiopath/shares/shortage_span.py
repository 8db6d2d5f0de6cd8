"""Seconds in which a gate is short of capacity, as they are logged."""

from __future__ import annotations

# A shortage counts as over after this time without one, which bounds the log lines.
CALM_S = 1.0


class ShortageSpan:
    """Tells when a shortage begins and ends; `now` is a monotonic clock in seconds.

    >>> span = ShortageSpan()
    >>> [span.update(is_short, now) for is_short, now in ((True, 0.0), (False, 0.2))]
    [True, None]
    >>> span.update(False, 1.2)
    False
    """

    def __init__(self) -> None:
        self.began_at = 0.0
        self._last_short_at: float | None = None

    def update(self, is_short: bool, now: float) -> bool | None:
        """Return whether a shortage has begun or ended, None if neither."""
        if is_short:
            has_begun = self._last_short_at is None
            if has_begun:
                self.began_at = now
            self._last_short_at = now
            return True if has_begun else None
        if self._last_short_at is None or now - self._last_short_at < CALM_S:
            return None
        self._last_short_at = None
        return False
