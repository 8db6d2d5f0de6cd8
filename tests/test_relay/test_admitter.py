from __future__ import annotations

import math
import random

import pytest

from pistachiopath.admission.leased_allowance import LeasedAllowance
from pistachiopath.errors.relay import TurnedAway
from pistachiopath.exchange.request import HttpRequest
from pistachiopath.relay.admitter import Admitter
from pistachiopath.relay.caller_request import CallerRequest
from pistachiopath.routes.customer_account import CustomerAccount
from pistachiopath.routes.repetition import Repetition
from pistachiopath.routes.route import Route, Share
from pistachiopath.routes.route_set import RouteSet


def route(prefix, tier, **changes):
    details = {
        'name': prefix,
        'host': 'h',
        'prefix': prefix,
        'shares': (Share(service='s', weight=1.0),),
        'repetition': Repetition.ONCE,
        'is_stream': False,
        'timeout_s': 1.0,
        'objective_s': 0.5,
        'tier': tier,
    }
    return Route(**details | changes)


ROUTES = RouteSet(
    version=1,
    routes=(
        route('/urgent/', 0),
        route('/usual/', 2),
        route('/open/', 0, is_public=True),
        route(
            '/split/',
            1,
            shares=(Share(service='s', weight=0.0), Share(service='t', weight=3.0)),
        ),
    ),
    services=(),
    customers=(
        CustomerAccount(name='first', keys=('k0',), tier=0),
        CustomerAccount(name='second', keys=('k1',), tier=1),
        CustomerAccount(
            name='small',
            keys=('k2',),
            rate_per_s=10.0,
            burst=100.0,
            counts_tokens=True,
            plain_cost=30.0,
        ),
    ),
)


def request(path, key='', **changes):
    http = HttpRequest(method=b'GET', target=path.encode(), headers=[], body=b'')
    return CallerRequest(http=http, request_id='r', host='h', key=key, **changes)


def make_admitter():
    allowance = LeasedAllowance(started_ms=1)
    allowance.adopt(ROUTES.customers, 0.0)
    return Admitter(
        allowance=allowance,
        borrow=lambda customer, cost: math.inf,
        rng=random.Random(1),
    )


def test_requests_are_ordered_by_route_then_by_customer():
    # Regression: when all customers had one tier, all routes got that tier as well.
    terms = [
        make_admitter().admit(request(path, key), ROUTES, 0.0)
        for path in ('/urgent/x', '/usual/x')
        for key in ('k0', 'k1')
    ]
    order = [(t.tier, t.customer_tier) for t in terms]
    assert order == sorted(order)
    assert len(set(order)) == 4


@pytest.mark.parametrize(
    ('path', 'key', 'status'), [('/none', 'k0', 404), ('/usual/', 'bad', 401)]
)
def test_unknown_routes_and_keys_are_refused(path, key, status):
    with pytest.raises(TurnedAway) as caught:
        make_admitter().admit(request(path, key), ROUTES, 0.0)
    assert caught.value.status == status


def test_a_public_route_needs_no_key():
    assert make_admitter().admit(request('/open/'), ROUTES, 0.0).customer is None


def test_a_share_without_weight_gets_no_requests():
    terms = [
        make_admitter().admit(request('/split/', 'k0'), ROUTES, 0.0) for _ in range(20)
    ]
    assert {t.service for t in terms} == {'t'}


def test_the_allowance_counts_stated_tokens_or_the_plain_cost():
    admitter = make_admitter()
    stated = request(
        '/usual/', 'k2', prompt_tokens=40, output_tokens=25, has_counts=True
    )
    assert admitter.admit(stated, ROUTES, 0.0).cost == 65
    assert admitter.admit(request('/usual/', 'k2'), ROUTES, 0.0).cost == 30
    with pytest.raises(TurnedAway) as caught:
        admitter.admit(request('/usual/', 'k2'), ROUTES, 0.0)
    assert caught.value.status == 429
    assert caught.value.retry_after_s == pytest.approx(2.5)
