"""Trials of parts in quarantine, so that a mistaken quarantine ends by itself."""

from __future__ import annotations

import hashlib

import attrs

from ..messages.quarantine import ContentTrial

# A trial may cost one crash, which keeps a replica away for some seconds, so trials
# become rare.  The longest interval with its spread is shorter than the retention
# of crash marks.
FIRST_TRIAL_S = 30.0
INTERVAL_FACTOR = 4.0
MAX_INTERVAL_S = 250.0


@attrs.define(kw_only=True, frozen=True)
class _Trial:
    """The last trial of a content: its number from 1 on, and when it began."""

    number: int
    began_at: float


class Trials:
    """Decides when this node may send one request with a part in quarantine.

    Each node has a time of its own within an interval, and a trial that any of
    them has begun defers those of all others.  `node` is the name of this node.
    `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, node: str = '') -> None:
        self._node = node
        self._last: dict[bytes, _Trial] = {}

    def due_at(self, key: bytes, last_crash_at: float) -> float:
        """Return when this node may next try the content."""
        last = self._last.get(key)
        number = last.number if last else 0
        interval_s = min(MAX_INTERVAL_S, FIRST_TRIAL_S * INTERVAL_FACTOR**number)
        since = max(last_crash_at, last.began_at) if last else last_crash_at
        return since + interval_s * (1.0 + self._spread(key, number))

    def begin(self, key: bytes, now: float) -> ContentTrial:
        """Record that this node begins a trial; return the message for others."""
        last = self._last.get(key)
        number = last.number + 1 if last else 1
        self._last[key] = _Trial(number=number, began_at=now)
        return ContentTrial(key=key, number=number, age_ms=0)

    def heard(self, trial: ContentTrial, now: float) -> bool:
        """Merge a trial that another node has begun; return whether it is new."""
        last = self._last.get(trial.key)
        if last is not None and trial.number <= last.number:
            return False
        began_at = now - trial.age_ms / 1000
        self._last[trial.key] = _Trial(number=trial.number, began_at=began_at)
        return True

    def messages(self, now: float) -> tuple[ContentTrial, ...]:
        """Return the last trial of each content, for nodes that may have missed it."""
        return tuple(
            ContentTrial(
                key=key, number=t.number, age_ms=max(0, int((now - t.began_at) * 1000))
            )
            for key, t in self._last.items()
        )

    def keep_only(self, keys: set[bytes]) -> None:
        """Remove the trials of all other contents."""
        for key in [k for k in self._last if k not in keys]:
            del self._last[key]

    def _spread(self, key: bytes, number: int) -> float:
        """Return this node's share of the interval by which its trial is later."""
        digest = hashlib.blake2b(digest_size=4)
        digest.update(self._node.encode())
        digest.update(b'%d' % number)
        digest.update(key)
        return int.from_bytes(digest.digest(), 'little') / 2**32
