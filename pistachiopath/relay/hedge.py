"""Search for a place elsewhere while the replica of a request is silent."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent

from ..errors.relay import TurnedAway

if TYPE_CHECKING:
    from collections.abc import Callable

    from .reservation import Reservation

logger = logging.getLogger(__name__)

# A search that found nothing is repeated after this time.
SEARCH_INTERVAL_S = 0.5


class Hedge:
    """Searches in a greenlet of its own until a place is found or `close` is called.

    `search` returns a reservation, or None; it may raise `TurnedAway`.  `release`
    gives back a reservation that is not taken.

    The exchange that waits keeps its own place and connection meanwhile, so a
    search that finds nothing costs the caller nothing.
    """

    def __init__(
        self,
        *,
        search: Callable[[], Reservation | None],
        release: Callable[[Reservation], None],
    ) -> None:
        self._search = search
        self._release = release
        self._found: Reservation | None = None
        self._is_closed = False
        self._searcher = gevent.spawn(self._run)

    @property
    def has_found(self) -> bool:
        """Whether there is a reservation to take."""
        return self._found is not None

    def take(self) -> Reservation | None:
        """Return the reservation, which the caller of this method then owns."""
        found, self._found = self._found, None
        return found

    def close(self) -> None:
        """Stop searching, and give back what was found but not taken.

        It waits for nothing, so its caller can't be interrupted before the end.
        """
        self._is_closed = True
        self._searcher.kill(block=False)
        self._release_untaken()

    def _run(self) -> None:
        while self._found is None:
            try:
                self._found = self._search()
            except TurnedAway as exc:
                logger.info('hedge_turned_away', extra={'reason': exc.reason})
            except Exception:
                logger.exception('hedge_failed')
            if self._found is None:
                gevent.sleep(SEARCH_INTERVAL_S)
        if self._is_closed:
            self._release_untaken()

    def _release_untaken(self) -> None:
        found = self.take()
        if found is not None:
            self._release(found)
