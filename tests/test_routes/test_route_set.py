from __future__ import annotations

import pytest

from pistachiopath.routes.repetition import Repetition
from pistachiopath.routes.route import Route, Share
from pistachiopath.routes.route_set import RouteSet
from pistachiopath.routes.service import Service

MODEL = Service(name='model', has_engine=True, slots=5, memory_tokens=250_000)
PLAIN = Service(name='plain')


def route(name, *, tier, repetition, is_stream=True, service='model'):
    return Route(
        name=name,
        host='host',
        prefix=f'/{name}/',
        shares=(Share(service=service, weight=1.0),),
        repetition=repetition,
        is_stream=is_stream,
        timeout_s=5.0,
        objective_s=0.5,
        tier=tier,
    )


def route_set(*routes):
    return RouteSet(version=1, routes=routes, services=(MODEL, PLAIN), customers=())


def test_a_service_is_final_urgent_if_its_most_urgent_streams_are_sent_once():
    # Guards against parts for such services that act on other deployments.
    routes = route_set(
        route('urgent', tier=0, repetition=Repetition.ONCE),
        route('other', tier=1, repetition=Repetition.RESUMABLE),
    )
    assert routes.is_final_urgent('model')


@pytest.mark.parametrize(
    'urgent',
    [
        route('urgent', tier=0, repetition=Repetition.RESUMABLE),
        route('urgent', tier=2, repetition=Repetition.ONCE),
        route('urgent', tier=0, repetition=Repetition.ONCE, is_stream=False),
        route('urgent', tier=0, repetition=Repetition.ONCE, service='plain'),
    ],
)
def test_a_service_is_not_final_urgent_otherwise(urgent):
    other = route('other', tier=1, repetition=Repetition.RESUMABLE)
    routes = route_set(urgent, other)
    assert not routes.is_final_urgent('model')
    assert not routes.is_final_urgent('plain')
    assert not routes.is_final_urgent('unknown')
