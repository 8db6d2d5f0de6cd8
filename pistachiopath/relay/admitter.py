"""Admission of requests by route, API key and allowance."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs

from ..errors.relay import TurnedAway
from ..routes.customer_account import CustomerAccount
from ..routes.route import Route

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..admission.leased_allowance import LeasedAllowance
    from ..routes.route_set import RouteSet
    from ..startup.waits import StartupWaits
    from .caller_request import CallerRequest

MAX_RETRY_AFTER_S = 5.0


@attrs.define(kw_only=True, frozen=True)
class Admitted:
    """Terms under which a request is served.

    Requests are ordered by `tier`, the tier of the route, and then by
    `customer_tier`, lower numbers first.  `cost`, in tokens or requests, was charged
    to the customer's allowance.  `is_final_urgent` states that the most urgent
    streams of the service can be sent only once, and `memory_tokens` is the memory of
    each of its engines, 0 if it is not known.
    """

    route: Route
    service: str
    customer: CustomerAccount | None
    tier: int
    cost: float
    customer_tier: int = 0
    is_final_urgent: bool = False
    memory_tokens: int = 0


class Admitter:
    """Admits requests; raises `TurnedAway` for those it refuses.

    `borrow` asks the lender for a customer's cost that exceeds this entry's own
    allowance.
    It returns 0 if the cost was lent, or the seconds until it may be.  `startup`
    asks again right after a start, when lenders do not answer yet.
    """

    def __init__(
        self,
        *,
        allowance: LeasedAllowance,
        borrow: Callable[[str, float], float],
        rng: random.Random,
        startup: StartupWaits | None = None,
    ) -> None:
        self._allowance = allowance
        self._borrow = borrow
        self._rng = rng
        self._startup = startup

    def admit(self, req: CallerRequest, routes: RouteSet, now: float) -> Admitted:
        """Return the terms for a request, and charge its cost."""
        route = routes.route(req.host, req.http.path)
        if route is None:
            raise TurnedAway(status=404, reason='no_route')
        customer = self._customer(req, routes, route)
        cost = self._charge(req, customer, route, routes, now)
        name = self._service(route)
        service = routes.service(name)
        return Admitted(
            route=route,
            service=name,
            customer=customer,
            tier=route.tier,
            customer_tier=(customer.tier or 0) if customer else 0,
            cost=cost,
            is_final_urgent=routes.is_final_urgent(name),
            memory_tokens=service.memory_tokens if service else 0,
        )

    def give_back(self, admitted: Admitted) -> None:
        """Refund the cost of a request that did not run."""
        if admitted.customer is not None:
            self._allowance.give_back(admitted.customer, admitted.cost)

    @staticmethod
    def _customer(
        req: CallerRequest, routes: RouteSet, route: Route
    ) -> CustomerAccount | None:
        if route.is_public or not routes.has_customers:
            return None
        customer = routes.customer(req.key)
        if customer is None:
            raise TurnedAway(status=401, reason='unknown_key')
        return customer

    def _charge(
        self,
        req: CallerRequest,
        customer: CustomerAccount | None,
        route: Route,
        routes: RouteSet,
        now: float,
    ) -> float:
        if customer is None:
            return 0.0
        cost = 1.0
        if customer.counts_tokens:
            tokens = float(req.prompt_tokens + req.output_tokens)
            cost = tokens if req.has_counts else customer.plain_cost
        wait_s = self._allowance.take(customer, cost, now)
        if wait_s > 0:
            ask_lender = functools.partial(self._borrow, customer.name, cost)
            startup = self._startup
            borrowed_in_s = (
                startup.borrow(ask_lender, req, route, routes)
                if startup
                else ask_lender()
            )
            wait_s = min(wait_s, borrowed_in_s)
        if wait_s > 0:
            raise TurnedAway(
                status=429,
                reason='customer_limit',
                retry_after_s=min(MAX_RETRY_AFTER_S, wait_s),
                customer=customer.name,
                cost=cost,
            )
        return cost

    def _service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service
