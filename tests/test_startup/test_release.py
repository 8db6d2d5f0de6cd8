"""The order in which requests that waited at one entry go on, through the shell."""

from __future__ import annotations

import copy
import random
import types

import gevent
import pytest

from pistachiopath.startup import waits as waits_module
from pistachiopath.startup.knowledge import STARTUP_S
from tests.harness.waiting import wait_until

from .test_allowances import waits_of
from .test_waits import final_urgent, resumable

OBJECTIVES_MS = {0: 550, 1: 427, 2: 421}


def tiered(document):
    """Return a configuration with a route of streams for each tier."""
    stream, pay = document['routes']
    document['routes'] = [
        copy.deepcopy(stream)
        | {
            'name': f't{tier}',
            'path_prefix': f'/t{tier}/',
            'priority': tier,
            'target_latency_ms': objective_ms,
        }
        for tier, objective_ms in OBJECTIVES_MS.items()
    ] + [pay]
    return document


def request(path):
    return types.SimpleNamespace(
        host='a.example', http=types.SimpleNamespace(path=path), deadline_s=5.0
    )


class Arrivals:
    """Requests of all tiers in random order, which wait for the configuration."""

    def __init__(self, document, count, seed=1):
        self.routes, self.waits = waits_of(document)
        self.in_force, self.waits._routes.current = self.routes, None
        self.went_on = []
        rng = random.Random(seed)
        self.tiers = [rng.choice((0, 1, 2)) for _ in range(count)]
        self.greenlets = [gevent.spawn(self.arrive, tier) for tier in self.tiers]
        wait_until(lambda: len(self.waits._events) == count)

    def arrive(self, tier):
        now = waits_module.time.monotonic()
        assert self.waits.configuration(request(f'/t{tier}/x'), now) is not None
        self.went_on.append(tier)

    def put_in_force(self):
        self.waits._routes.current = self.in_force
        self.waits.look(waits_module.time.monotonic())


def test_all_that_waited_go_on_by_tier():
    arrivals = Arrivals(tiered(final_urgent()), 60)
    arrivals.put_in_force()
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert arrivals.went_on == sorted(arrivals.tiers)
    assert not arrivals.waits._events
    assert len(arrivals.waits._queue) == 0


def test_in_other_deployments_all_go_on_in_order_of_arrival():
    arrivals = Arrivals(tiered(resumable()), 60)
    arrivals.put_in_force()
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert arrivals.went_on == arrivals.tiers


def test_a_stop_wakes_those_in_line_too():
    # Guards against requests that are left in line when the release is interrupted.
    arrivals = Arrivals(tiered(final_urgent()), 60)
    arrivals.put_in_force()
    wait_until(lambda: len(arrivals.went_on) > 5)
    arrivals.waits.stop()
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert len(arrivals.went_on) == 60
    assert len(arrivals.waits._queue) == 0


def test_those_that_leave_while_they_wait_in_line_do_not_hold_up_others():
    arrivals = Arrivals(tiered(final_urgent()), 60)
    arrivals.put_in_force()
    wait_until(lambda: len(arrivals.went_on) > 5)
    gone = [g for g in arrivals.greenlets if not g.dead][::2]
    gevent.killall(gone)
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert len(arrivals.went_on) == 60 - len(gone)
    assert not arrivals.waits._events


def test_an_error_in_the_release_lets_all_go_on(monkeypatch):
    # Guards against requests that wait in line for ever.
    arrivals = Arrivals(tiered(final_urgent()), 20)
    monkeypatch.setattr(waits_module, 'RELEASE_INTERVAL_S', 'not a number')
    arrivals.put_in_force()
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert len(arrivals.went_on) == 20


@pytest.mark.parametrize('document', (final_urgent, resumable))
def test_no_request_takes_turns_once_the_start_is_over(document):
    # Guards against a limit on the rate of requests in ordinary operation.
    _, waits = waits_of(tiered(document()))
    waits._knowledge._started_at -= STARTUP_S
    now = waits_module.time.monotonic()
    for _ in range(500):
        assert waits.configuration(request('/t0/x'), now) is not None
    assert waits_module.time.monotonic() - now < 1.0


def test_no_more_than_the_limit_wait(monkeypatch):
    # Guards against memory and connections held without a bound.
    monkeypatch.setattr(waits_module.bounds, 'MAX_WAITING', 10)
    arrivals = Arrivals(tiered(final_urgent()), 10)
    assert arrivals.waits.configuration(request('/t0/x'), 0.0) is None
    arrivals.put_in_force()
    gevent.joinall(arrivals.greenlets, timeout=5.0, raise_error=True)
    assert len(arrivals.went_on) == 10
