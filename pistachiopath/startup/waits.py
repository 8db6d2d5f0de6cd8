"""Requests at an entry that wait until it knows enough to serve them."""

from __future__ import annotations

import itertools
import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..util.arrivals import handle_arrivals
from . import bounds
from .knowledge import StartupKnowledge, Subject
from .release_queue import ReleaseQueue, Waiting

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..relay.caller_request import CallerRequest
    from ..relay.routes_in_force import RoutesInForce
    from ..relay.work import Work
    from ..routes.route import Route
    from ..routes.route_set import RouteSet
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

# Requests that waited go on one by one, so that the urgent ones reach the gates first.
RELEASE_INTERVAL_S = 0.005


class StartupWaits:
    """Holds requests after a start and releases them in the order of `ReleaseQueue`.

    Every request waits for the first configuration.  Those for a service whose most
    urgent streams can be sent only once also wait for its first replica, and take
    turns after either wait; others go on at once.

    `ready_services` returns the services of the replicas that accept requests, and
    `checks` tells of further subjects whether they are known.
    """

    def __init__(
        self,
        *,
        routes: RoutesInForce,
        ready_services: Callable[[], Iterable[str]],
        checks: Mapping[Subject, Callable[[float], bool]],
        patience_s: Callable[[Work, float], float],
        metrics: Metrics,
        started_at: float,
    ) -> None:
        self.is_stopping = False
        self._routes = routes
        self._ready_services = ready_services
        self._checks = checks
        self._patience_s = patience_s
        self._metrics = metrics
        self._knowledge = StartupKnowledge(started_at=started_at)
        self._numbers = itertools.count(1)
        self._events: dict[int, gevent.event.Event] = {}
        self._subjects: dict[int, tuple[Subject, str]] = {}
        self._queue = ReleaseQueue()
        self._is_releasing = False
        self._borrowing = 0

    def look(self, now: float) -> None:
        """Record what has become known, and wake the requests that waited for it."""
        if not self._knowledge.is_starting(now) and not self._events:
            return
        if self._routes.current is not None:
            self._learn(Subject.CONFIGURATION, now)
        for service in set(self._ready_services()):
            self._learn(Subject.REPLICA, now, service)
        for subject, is_known in self._checks.items():
            if not self._knowledge.knows(subject) and is_known(now):
                self._learn(subject, now)

    def stop(self) -> None:
        """Wake all requests that wait: the entry is about to stop."""
        self.is_stopping = True
        for event in self._events.values():
            event.set()

    def configuration(self, req: CallerRequest, arrived_at: float) -> RouteSet | None:
        """Return the configuration, waiting for the first one; None if none comes."""
        routes = self._routes.current
        if routes is None:
            wait_s = bounds.configuration_wait_s(req.deadline_s)
            self._wait(Subject.CONFIGURATION, '', wait_s)
            routes = self._routes.current
        elif not self._queue:
            return routes
        if routes is not None:
            route = routes.route(req.host, req.http.path)
            if route is not None and _is_final_urgent(route, routes):
                self._take_turn(route.tier, arrived_at + route.objective_s)
        return self._routes.current

    def await_replica(self, work: Work) -> None:
        """Wait for the first replica of a service; return once it may be known."""
        now = time.monotonic()
        admitted = work.admitted
        if not admitted.is_final_urgent:
            return
        if not self._knowledge.awaits_replica(admitted.service, now):
            return
        self.look(now)
        if not self._knowledge.awaits_replica(admitted.service, now):
            return
        objective_s = admitted.route.objective_s
        wait_s = bounds.replica_wait_s(self._patience_s(work, now), objective_s)
        if self._wait(Subject.REPLICA, admitted.service, wait_s):
            self._take_turn(admitted.tier, work.first_attempt_at + objective_s)

    def borrow(
        self,
        ask_lender: Callable[[], float],
        req: CallerRequest,
        route: Route,
        routes: RouteSet,
    ) -> float:
        """Borrow an allowance; right after a start, ask again for a while.

        Returns 0 if it was lent, or the seconds until it may be.
        """
        began_at = time.monotonic()
        retry_after_s = ask_lender()
        if retry_after_s <= 0 or not self._may_wait_for_allowance(route, routes):
            return retry_after_s
        wait_s = bounds.allowance_wait_s(
            req.deadline_s,
            route.objective_s,
            is_leased=self._knowledge.knows(Subject.ALLOWANCE),
        )
        self._borrowing += 1
        try:
            while retry_after_s > 0 and not self.is_stopping:
                left_s = began_at + wait_s - time.monotonic()
                if left_s <= 0:
                    break
                gevent.sleep(min(left_s, bounds.BORROW_INTERVAL_S))
                retry_after_s = ask_lender()
        finally:
            self._borrowing -= 1
            outcome = 'unknown' if retry_after_s > 0 else 'known'
            self._record_wait(Subject.ALLOWANCE, began_at, outcome)
        return retry_after_s

    def _may_wait_for_allowance(self, route: Route, routes: RouteSet) -> bool:
        return (
            _is_final_urgent(route, routes)
            and self._knowledge.is_starting(time.monotonic())
            and self._borrowing < bounds.MAX_WAITING
        )

    def _record_wait(self, subject: Subject, began_at: float, outcome: str) -> None:
        wait_s = time.monotonic() - began_at
        self._metrics.observe('startup_wait', wait_s, subject=subject.value)
        self._metrics.count(
            'startup_waits_total', subject=subject.value, outcome=outcome
        )

    def _learn(self, subject: Subject, now: float, service: str = '') -> None:
        if not self._knowledge.learn(subject, now, service=service):
            return
        waiting = [n for n, key in self._subjects.items() if key == (subject, service)]
        after_ms = self._knowledge.known_after_ms(subject, service=service)
        logger.info(
            'startup_known',
            extra={
                'subject': subject.value,
                'service': service,
                'after_ms': after_ms,
                'waiting': len(waiting),
            },
        )
        self._metrics.set(
            'startup_known_ms', after_ms, subject=subject.value, service=service
        )
        for number in waiting:
            self._events[number].set()

    def _wait(self, subject: Subject, service: str, wait_s: float) -> bool:
        """Wait until a subject is known; return whether it is."""
        if self.is_stopping or len(self._events) >= bounds.MAX_WAITING:
            return False
        number = next(self._numbers)
        event = self._events[number] = gevent.event.Event()
        self._subjects[number] = (subject, service)
        began_at = time.monotonic()
        try:
            if not event.wait(wait_s):
                handle_arrivals()
                self.look(time.monotonic())
        finally:
            del self._events[number], self._subjects[number]
            is_known = self._knowledge.knows(subject, service=service)
            outcome = 'known' if is_known else 'unknown'
            self._record_wait(subject, began_at, outcome)
        return is_known

    def _take_turn(self, tier: int, due_at: float) -> None:
        """Wait until all requests have gone on that come before this one."""
        if self.is_stopping or not self._knowledge.is_starting(time.monotonic()):
            return
        number = next(self._numbers)
        event = self._events[number] = gevent.event.Event()
        self._queue.add(Waiting(number=number, tier=tier, due_at=due_at))
        if not self._is_releasing:
            self._is_releasing = True
            gevent.spawn(self._release)
        try:
            event.wait()
        finally:
            self._queue.remove(number)
            del self._events[number]

    def _release(self) -> None:
        try:
            while (waiting := self._queue.take(time.monotonic())) is not None:
                self._events[waiting.number].set()
                # A longer queue than the start allows for is let go at once.
                is_starting = self._knowledge.is_starting(time.monotonic())
                gevent.sleep(RELEASE_INTERVAL_S if is_starting else 0)
        finally:
            self._is_releasing = False
            # Only an error leaves any in line; they go on without an order.
            while (waiting := self._queue.take(0.0)) is not None:
                self._events[waiting.number].set()


def _is_final_urgent(route: Route, routes: RouteSet) -> bool:
    return any(routes.is_final_urgent(share.service) for share in route.shares)
