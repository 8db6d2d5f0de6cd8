"""One version of the operators' configuration, indexed for lookups."""

from __future__ import annotations

import attrs

from ..exchange.limits import ExchangeLimits
from .customer_account import CustomerAccount
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

    def __attrs_post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._services = {s.name: s for s in self.services}
        self._by_key = {key: c for c in self.customers for key in c.keys}

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

    def customer(self, key: str) -> CustomerAccount | None:
        """Return the customer that a key belongs to."""
        return self._by_key.get(key)
