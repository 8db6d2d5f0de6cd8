"""The planned stop of the server to which callers connect."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..util.arrivals import handle_arrivals
from .departure import LEAVE_ROTATION_S

if TYPE_CHECKING:
    from ..exchange.server import HttpServer
    from .departure import Departure

logger = logging.getLogger(__name__)

IDLE_CHECK_INTERVAL_S = 0.05


class PlannedStop:
    """Closes the server of an entry within the grace period.

    `departure` decides meanwhile which requests are still admitted.
    """

    def __init__(self, *, server: HttpServer, departure: Departure) -> None:
        self._server = server
        self._departure = departure

    def run(self) -> None:
        """Leave the load balancer's rotation, then answer all open requests."""
        self._departure.begin(time.monotonic())
        self._server.announce_stop()
        gevent.sleep(min(LEAVE_ROTATION_S, self._remaining_s()))
        # Connections that are not accepted yet are reset when the server stops.
        handle_arrivals()
        self._departure.close()
        self._server.stop_accepting()
        self._wait_until_idle()
        unfinished = self._server.end_unfinished(
            self._departure.answering_s(time.monotonic())
        )
        logger.info('stopped', extra={'unfinished': unfinished})

    def _wait_until_idle(self) -> None:
        """Wait until no request is left, or what is left has to be answered."""
        while self._server.connections:
            remaining_s = self._remaining_s()
            if remaining_s <= 0:
                return
            self._server.wait_until_idle(min(IDLE_CHECK_INTERVAL_S, remaining_s))

    def _remaining_s(self) -> float:
        """Return the seconds until the requests of all connections are ended."""
        return self._departure.remaining_s(
            time.monotonic(), unfinished=self._server.connections
        )
