"""Validation of a configuration beyond its syntax."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..errors.configuration import InvalidConfiguration

if TYPE_CHECKING:
    from .route import Route
    from .route_set import RouteSet


def check(routes: RouteSet) -> None:
    """Raise `InvalidConfiguration` for the first error found."""
    service_names = {service.name for service in routes.services}
    if len(service_names) < len(routes.services):
        raise InvalidConfiguration(where='services', reason='duplicate_name')
    locations: set[tuple[str, str]] = set()
    for route in routes.routes:
        _check_route(route, service_names)
        location = (route.host.lower(), route.prefix)
        if location in locations:
            raise InvalidConfiguration(where=route.name, reason='duplicate_place')
        locations.add(location)
    _check_keys(routes)


def _check_route(route: Route, service_names: set[str]) -> None:
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        raise InvalidConfiguration(where=route.name, reason='prefix_without_slashes')
    if not route.host:
        raise InvalidConfiguration(where=route.name, reason='no_host')
    if not route.timeout_s > 0 or not math.isfinite(route.timeout_s):
        raise InvalidConfiguration(where=route.name, reason='no_timeout')
    if any(share.service not in service_names for share in route.shares):
        raise InvalidConfiguration(where=route.name, reason='unknown_service')
    weights = [share.weight for share in route.shares]
    if any(not weight >= 0 or not math.isfinite(weight) for weight in weights):
        raise InvalidConfiguration(where=route.name, reason='bad_weight')
    if not sum(weights) > 0:
        raise InvalidConfiguration(where=route.name, reason='no_weight')


def _check_keys(routes: RouteSet) -> None:
    key_owners: dict[str, str] = {}
    for customer in routes.customers:
        for key in customer.keys:
            if key_owners.setdefault(key, customer.name) != customer.name:
                raise InvalidConfiguration(where=customer.name, reason='shared_key')
