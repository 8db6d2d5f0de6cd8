"""One version of the operators' configuration, indexed for lookups."""

from __future__ import annotations

import attrs

from ..exchange.limits import ExchangeLimits
from .customer_account import CustomerAccount
from .repetition import Repetition
from .route import Route
from .service import Service


@attrs.define(kw_only=True)
class RouteSet:
    """Routes, services and customers of one configuration version.

    >>> RouteSet(version=1, routes=(), services=(), customers=()).route('h', '/')
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[CustomerAccount, ...]
    limits: ExchangeLimits = attrs.field(factory=ExchangeLimits)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, factory=dict)
    _services: dict[str, Service] = attrs.field(init=False, factory=dict)
    _by_key: dict[str, CustomerAccount] = attrs.field(init=False, factory=dict)
    _final_urgent: frozenset[str] = attrs.field(init=False, default=frozenset())

    def __attrs_post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._services = {s.name: s for s in self.services}
        self._by_key = {key: c for c in self.customers for key in c.keys}
        self._final_urgent = frozenset(
            service.name for service in self.services if self._is_final(service)
        )

    @property
    def has_customers(self) -> bool:
        """Return whether requests must carry a customer's key."""
        return bool(self.customers)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest match of the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def is_final_urgent(self, service: str) -> bool:
        """Return whether a service's most urgent streams can be sent only once.

        A bad choice of a replica can't be made good there by sending the request
        to another one.
        """
        return service in self._final_urgent

    def _is_final(self, service: Service) -> bool:
        streams = [
            route
            for route in self.routes
            if route.is_stream and any(s.service == service.name for s in route.shares)
        ]
        if not service.has_engine or not streams:
            return False
        tier = min(route.tier for route in streams)
        return all(
            route.repetition is Repetition.ONCE
            for route in streams
            if route.tier == tier
        )

    def customer(self, key: str) -> CustomerAccount | None:
        """Return the customer that a key belongs to."""
        return self._by_key.get(key)
