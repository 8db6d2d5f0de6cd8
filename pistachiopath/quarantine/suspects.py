"""Content suspected of crashing the targets that run it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

QUARANTINE_CRASHES = 2
RETENTION_MS = 24 * 3600 * 1000
MAX_SUSPECTS = 20_000


@attrs.define(kw_only=True)
class Suspect:
    """Content that was running when targets crashed."""

    fingerprint: bytes
    crashes: int
    updated_ms: int


class Suspects:
    """Counts crashes by content fingerprint.

    A fingerprint with one crash is a suspect: it runs with no other suspect
    on its target, so that a second crash tells which one did it.  With two
    crashes it is quarantined.  A run that ends clears the suspicion.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, Suspect] = {}
        self._quarantined: set[bytes] = set()

    @property
    def has_quarantined(self) -> bool:
        """Tell whether any content is quarantined."""
        return bool(self._quarantined)

    def __iter__(self) -> Iterable[Suspect]:
        return iter(self._suspects.values())

    def restore(self, suspect: Suspect) -> None:
        """Put back a suspect from a snapshot."""
        self._store(suspect)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tell whether the content was in at least one crash."""
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether the content may not run any more."""
        return fingerprint in self._quarantined

    def crashed(self, fingerprints: Iterable[bytes], now_ms: int) -> None:
        """Count a crash of a target that was running these contents."""
        running = set(fingerprints)
        known = {fp for fp in running if fp in self._suspects}
        for fp in sorted(known or running):
            self._count(fp, now_ms)

    def cleared(self, fingerprint: bytes) -> None:
        """Forget a suspect that ran to its end, unless it is quarantined."""
        if not self.is_quarantined(fingerprint):
            self._suspects.pop(fingerprint, None)

    def prune(self, now_ms: int) -> None:
        """Forget what is older than the retention, or too much."""
        for fp, suspect in list(self._suspects.items()):
            excess = len(self._suspects) > MAX_SUSPECTS
            if not excess and now_ms - suspect.updated_ms <= RETENTION_MS:
                return
            del self._suspects[fp]
            self._quarantined.discard(fp)

    def _count(self, fingerprint: bytes, now_ms: int) -> None:
        # Reinsertion keeps the dictionary in the order of the last crash.
        suspect = self._suspects.pop(fingerprint, None)
        crashes = suspect.crashes + 1 if suspect else 1
        self._store(
            Suspect(fingerprint=fingerprint, crashes=crashes, updated_ms=now_ms)
        )

    def _store(self, suspect: Suspect) -> None:
        self._suspects[suspect.fingerprint] = suspect
        if suspect.crashes >= QUARANTINE_CRASHES:
            self._quarantined.add(suspect.fingerprint)
