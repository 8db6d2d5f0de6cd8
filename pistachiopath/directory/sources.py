"""The control nodes that a node remembers, and for how long."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .source import LISTING_LEASE_S, Source

if TYPE_CHECKING:
    from collections.abc import ItemsView, ValuesView

logger = logging.getLogger(__name__)

# Control nodes that are remembered, listed or not.
MAX_SOURCES = 64


class Sources:
    """Remembers control nodes by their addresses, with the state of their feeds.

    A control node is current while a node lists it and while it is a seed.  One that
    is not current is remembered until `MAX_SOURCES` others were listed after it.
    Silence is no reason to forget one: this node may have been cut off from all of
    them, or hear only one that was.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, own_address: str) -> None:
        self._own_address = own_address
        self._seeds: tuple[str, ...] = ()
        self._sources: dict[str, Source] = {}
        self._unheard_since: float | None = None

    def set_seeds(self, seeds: tuple[str, ...], now: float) -> None:
        """Replace the seeds; former ones are remembered."""
        self._seeds = seeds
        for address in seeds:
            self.add(address, now)

    def add(self, address: str, now: float) -> Source | None:
        """Record that a control node is listed; return None for this node itself."""
        if address == self._own_address:
            return None
        source = self._sources.get(address)
        if source is None:
            source = Source(last_listed_at=now)
            self._sources[address] = source
            logger.info('control_known', extra={'address': address})
        source.last_listed_at = now
        return source

    def remember(self, address: str, now: float) -> None:
        """Record a control node that others know of but do not hear."""
        if address not in self._sources:
            self.add(address, now - LISTING_LEASE_S)

    def get(self, address: str) -> Source | None:
        """Return what is known of a control node, or None."""
        return self._sources.get(address)

    def forget(self, address: str) -> None:
        """Forget a control node, if it is known."""
        self._sources.pop(address, None)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all control nodes that are remembered."""
        return tuple(self._sources)

    def items(self) -> ItemsView[str, Source]:
        """Return all control nodes with their addresses."""
        return self._sources.items()

    def values(self) -> ValuesView[Source]:
        """Return all control nodes."""
        return self._sources.values()

    def heard(self, now: float) -> tuple[str, ...]:
        """Return the addresses of those that sent a message recently."""
        return tuple(a for a, source in self._sources.items() if source.is_heard(now))

    def listed(self, now: float) -> list[Source]:
        """Return those that a node has listed lately."""
        return [s for s in self._sources.values() if s.is_listed(now)]

    def is_current(self, address: str, now: float) -> bool:
        """Return whether a control node is listed or a seed."""
        return self._sources[address].is_listed(now) or address in self._seeds

    def prune(self, now: float) -> None:
        """Forget the control nodes that were listed longest ago, if there are many."""
        old = [a for a in self._sources if not self.is_current(a, now)]
        old.sort(key=lambda address: self._sources[address].last_listed_at)
        excess = max(0, len(self._sources) - MAX_SOURCES)
        for address in old[:excess]:
            unlisted_s = now - self._sources[address].last_listed_at
            logger.info(
                'control_forgotten',
                extra={'address': address, 'unlisted_s': round(unlisted_s, 1)},
            )
            self.forget(address)

    def log_contact(self, now: float, version: int) -> None:
        """Log when the last control node falls silent, and when one is heard again.

        `version` is that of the configuration that this node goes on with.
        """
        heard = len(self.heard(now))
        known = len(self._sources)
        if heard and self._unheard_since is not None:
            unheard_s = round(now - self._unheard_since, 3)
            self._unheard_since = None
            logger.info(
                'controls_heard',
                extra={'unheard_s': unheard_s, 'known': known, 'version': version},
            )
        elif not heard and self._unheard_since is None:
            self._unheard_since = now
            logger.warning(
                'controls_unheard', extra={'known': known, 'version': version}
            )
