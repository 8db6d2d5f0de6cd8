"""Request content suspected of crashing the targets that run it."""

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
    """Request content that was running when targets crashed."""

    fingerprint: bytes
    crashes: int
    updated_ms: int


class Suspects:
    """Counts crashes by content fingerprint.

    A fingerprint with one crash is a suspect.  It shares its target with no
    other suspect, so that a second crash identifies its cause.  A fingerprint
    with two crashes is quarantined.  A completed run clears a suspect.
    """

    def __init__(self) -> None:
        self._suspects: dict[bytes, Suspect] = {}
        self._quarantined: set[bytes] = set()

    @property
    def has_quarantined(self) -> bool:
        """Whether any content is quarantined."""
        return bool(self._quarantined)

    def __iter__(self) -> Iterable[Suspect]:
        return iter(self._suspects.values())

    def restore(self, suspect: Suspect) -> None:
        """Add a suspect from a snapshot."""
        self._store(suspect)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether the content was in at least one crash."""
        return fingerprint in self._suspects

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether the content must not run."""
        return fingerprint in self._quarantined

    def crashed(self, fingerprints: Iterable[bytes], now_ms: int) -> None:
        """Count a crash of a target that was running these contents.

        If suspects are among them, the crash counts for the suspects only.
        """
        running = set(fingerprints)
        suspects = {fp for fp in running if fp in self._suspects}
        for fp in sorted(suspects or running):
            self._count(fp, now_ms)

    def cleared(self, fingerprint: bytes) -> None:
        """Remove a suspect that ran to completion, unless it is quarantined."""
        if not self.is_quarantined(fingerprint):
            self._suspects.pop(fingerprint, None)

    def prune(self, now_ms: int) -> None:
        """Remove expired suspects, and the oldest ones above `MAX_SUSPECTS`."""
        for fp, suspect in list(self._suspects.items()):
            excess = len(self._suspects) > MAX_SUSPECTS
            if not excess and now_ms - suspect.updated_ms <= RETENTION_MS:
                return
            del self._suspects[fp]
            self._quarantined.discard(fp)

    def _count(self, fingerprint: bytes, now_ms: int) -> None:
        # Reinsertion keeps the dictionary ordered by the time of the last crash.
        suspect = self._suspects.pop(fingerprint, None)
        crashes = suspect.crashes + 1 if suspect else 1
        self._store(
            Suspect(fingerprint=fingerprint, crashes=crashes, updated_ms=now_ms)
        )

    def _store(self, suspect: Suspect) -> None:
        self._suspects[suspect.fingerprint] = suspect
        if suspect.crashes >= QUARANTINE_CRASHES:
            self._quarantined.add(suspect.fingerprint)
