"""Building of a view, target by target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.membership import TargetView, View
from .load_digest import pack
from .rate_digest import pack_rates

if TYPE_CHECKING:
    from .publication import Publication


# Targets in the bitmap share the age of the oldest of them.  Heartbeats arrive
# every 500 ms.  A target that has been silent for longer is sent with its own
# age, so that its age does not make all the others appear about to expire.
SHARED_AGE_MAX_MS = 750


class ViewBuilder:
    """Collects the changes after the number that an entry has received."""

    def __init__(self, *, since: int) -> None:
        self._since = since
        self._targets: list[TargetView] = []
        self._loads: list[bytes] = []
        self._rates: list[bytes] = []
        self._alive = 0
        self._oldest_age_ms = 0

    def add(self, publication: Publication, age_ms: int) -> None:
        """Add a live target whose last heartbeat arrived `age_ms` ago."""
        if publication.description_change > self._since:
            self._describe(publication, age_ms)
            return
        if publication.rates_change > self._since:
            self._rates.append(
                pack_rates(publication.slot, publication.published.rates)
            )
        if publication.load_change > self._since or age_ms > SHARED_AGE_MAX_MS:
            self._loads.append(
                pack(publication.slot, age_ms, publication.published.load)
            )
            return
        self._alive |= 1 << publication.slot
        self._oldest_age_ms = max(self._oldest_age_ms, age_ms)

    def build(self, *, revision: int, number: int, feed: int, change: int) -> View:
        """Return the view for the request with that number."""
        return View(
            revision=revision,
            number=number,
            feed=feed,
            since=self._since,
            change=change,
            targets=tuple(self._targets),
            loads=b''.join(self._loads),
            rates=b''.join(self._rates),
            alive=self._alive.to_bytes((self._alive.bit_length() + 7) // 8, 'little'),
            alive_age_ms=self._oldest_age_ms,
        )

    def _describe(self, publication: Publication, age_ms: int) -> None:
        view = TargetView(
            age_ms=age_ms, report=publication.published, slot=publication.slot
        )
        self._targets.append(view)
