"""The configuration that an entry currently uses."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent.event

from ..document.packing import unpack
from ..errors.configuration import InvalidConfiguration
from ..exchange.limits import ExchangeLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..routes.route_set import RouteSet

logger = logging.getLogger(__name__)


class RoutesInForce:
    """Decodes committed documents and keeps the newest one.

    `decode` is provided by the adapter.  A document that it can't decode is
    ignored.
    """

    def __init__(self, *, decode: Callable[[bytes], RouteSet]) -> None:
        self.current: RouteSet | None = None
        self._decode = decode
        self._available = gevent.event.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> ExchangeLimits:
        """Limits on requests of callers."""
        return self.current.limits if self.current else ExchangeLimits()

    def wait(self, timeout_s: float) -> RouteSet | None:
        """Return the configuration, waiting up to `timeout_s` for the first one."""
        self._available.wait(timeout_s)
        return self.current

    def adopt(self, version: int, content: bytes) -> RouteSet | None:
        """Put a document in force; return it, or None if it can't be decoded."""
        try:
            routes = self._decode(unpack(content))
        except InvalidConfiguration as exc:
            logger.error(
                'configuration_unusable',
                extra={'version': version, 'reason': str(exc)},
            )
            return None
        self.current = routes
        self._available.set()
        logger.info(
            'configuration_in_force',
            extra={'version': routes.version, 'routes': len(routes.routes)},
        )
        return routes
