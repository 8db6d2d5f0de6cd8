from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.errors.configuration import InvalidConfiguration
from pistachiopath.messages.allowance import Borrow
from pistachiopath.messages.document import PutDocument
from pistachiopath.messages.grants import Ask
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.routes.repetition import Repetition
from pistachiopath.transport.codec import encode_message

VALID = {
    'version': 7,
    'routes': [
        {
            'name': 'stream',
            'hostname': 'a.example',
            'path_prefix': '/gen/',
            'route_type': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 500,
            'priority': 0,
            'traffic_split': [
                {'backend': 'model', 'weight': 90},
                {'backend': 'plain', 'weight': 10},
            ],
            'attempts': 2,
            'stream_resume': True,
        },
        {
            'name': 'pay',
            'hostname': 'a.example',
            'path_prefix': '/',
            'route_type': 'unsafe',
            'timeout_ms': 600,
            'backend': 'plain',
            'public': True,
        },
    ],
    'backends': [
        {'name': 'model', 'engine': {'slots': 8, 'kv_capacity': 1000}},
        {'name': 'plain', 'max_conns': 120},
    ],
    'limits': {'max_body_bytes': 1000, 'idle_timeout_ms': 1500},
    'tenants': [
        {
            'name': 't',
            'api_keys': ['k1', 'k2'],
            'priority': 1,
            'unit': 'tokens',
            'plain_tokens': 200,
            'rate_per_s': 10,
            'burst': 20,
        },
        {'name': 'u', 'api_keys': ['k3']},
    ],
}


def encode(document):
    return json.dumps(document).encode()


def test_fields_are_decoded():
    routes = decode_configuration(encode(VALID))
    stream, pay = routes.routes
    assert stream.repetition is Repetition.RESUMABLE
    assert (stream.timeout_s, stream.objective_s) == (5.0, 0.5)
    assert [(s.service, s.weight) for s in stream.shares] == [
        ('model', 90),
        ('plain', 10),
    ]
    assert pay.repetition is Repetition.ONCE
    assert pay.is_public
    assert pay.max_targets == 1
    assert routes.service('model').has_engine
    assert not routes.service('plain').has_engine
    assert routes.customer('k2').name == 't'
    assert routes.customer('k2').counts_tokens
    assert routes.customer('k3').rate_per_s == 0
    assert routes.limits.idle_timeout_s == 1.5
    assert routes.limits.max_body_bytes == 1000


def test_longest_matching_prefix_is_chosen():
    routes = decode_configuration(encode(VALID))
    assert routes.route('A.example', '/gen/x').name == 'stream'
    assert routes.route('a.example', '/gen').name == 'pay'
    assert routes.route('b.example', '/gen/x') is None


def encode_changed(change):
    document = copy.deepcopy(VALID)
    change(document)
    return encode(document)


def with_route(**changes):
    return encode_changed(lambda d: d['routes'][0].update(changes))


def with_customer(**changes):
    return encode_changed(lambda d: d['tenants'][0].update(changes))


def with_service(**changes):
    return encode_changed(lambda d: d['backends'][0].update(changes))


HUGE = 10**400
HALF_PAIR = '\ud800'

INVALID = {
    'cut short': encode(VALID)[:-20],
    'empty': b'',
    'a list': b'[]',
    'unknown service': encode_changed(lambda d: d['routes'][1].update(backend='other')),
    'unknown service in a split': encode_changed(
        lambda d: d['routes'][0]['traffic_split'][0].update(backend='other')
    ),
    'same place': encode_changed(
        lambda d: d['routes'].append({**d['routes'][1], 'name': 'again'})
    ),
    'no weight': encode_changed(
        lambda d: [s.update(weight=0) for s in d['routes'][0]['traffic_split']]
    ),
    'no timeout': encode_changed(lambda d: d['routes'][0].update(timeout_ms=0)),
    'timeout of another type': encode_changed(
        lambda d: d['routes'][0].update(timeout_ms='5')
    ),
    'shared key': encode_changed(lambda d: d['tenants'][1]['api_keys'].append('k1')),
    'version of another type': encode_changed(lambda d: d.update(version='7')),
    'no routes': encode_changed(lambda d: d.pop('routes')),
}
OUT_OF_RANGE = {
    'timeout': with_route(timeout_ms=HUGE),
    'infinite timeout': with_route(timeout_ms=float('inf')),
    'timeout that is no number': with_route(timeout_ms=float('nan')),
    'objective': with_route(target_latency_ms=HUGE),
    'negative objective': with_route(target_latency_ms=-1),
    'pause': with_route(tpot_target_ms=1e300),
    'tier': with_route(priority=2**63),
    'attempts': with_route(attempts=HUGE),
    'weight': with_route(traffic_split=[{'backend': 'model', 'weight': HUGE}]),
    'version': encode_changed(lambda d: d.update(version=2**70)),
    'digits': encode(VALID).replace(b'5000', b'5' * 5000),
    'rate': with_customer(rate_per_s=HUGE),
    'negative rate': with_customer(rate_per_s=-1),
    'burst': with_customer(burst=1e300),
    'cost': with_customer(plain_tokens=2**62),
    'negative cost': with_customer(plain_tokens=-200),
    'connections': with_service(max_conns=2**63),
    'slots': with_service(engine={'slots': HUGE}),
    'memory': with_service(engine={'kv_capacity': -1}),
    'header limit': encode_changed(lambda d: d['limits'].update(max_header_bytes=-1)),
    'body limit': encode_changed(lambda d: d['limits'].update(max_body_bytes=2**70)),
    'idle time': encode_changed(lambda d: d['limits'].update(idle_timeout_ms=HUGE)),
    'half a pair in a customer': with_customer(name=HALF_PAIR),
    'half a pair in a key': with_customer(api_keys=['k', HALF_PAIR]),
    'half a pair in a host': with_route(hostname=HALF_PAIR),
    'half a pair in a route': with_route(name='a' + HALF_PAIR),
    'line end in a customer': with_customer(name='t\r\nX: y'),
    'nul in a customer': with_customer(name='t\0'),
    'long customer': with_customer(name='t' * 100_000),
    'nested': encode(VALID)[:-1] + b',"later":' + b'[' * 100_000 + b'}',
}


@pytest.mark.parametrize('name', INVALID)
def test_invalid_configuration_raises(name):
    with pytest.raises(InvalidConfiguration):
        decode_configuration(INVALID[name])


@pytest.mark.parametrize('name', OUT_OF_RANGE)
def test_a_value_that_messages_cannot_carry_makes_a_configuration_invalid(name):
    with pytest.raises(InvalidConfiguration):
        decode_configuration(OUT_OF_RANGE[name])


@pytest.mark.parametrize(
    'content',
    [
        encode_changed(lambda d: d.update(version=2**63 - 1)),
        with_route(timeout_ms=0.5, priority=10**6, attempts=10**9),
        with_customer(name='Zürich 客户', api_keys=['ключ']),
        with_customer(rate_per_s=1e15, burst=1e15, plain_tokens=0),
        with_service(max_conns=10**9, engine={'slots': 10**6, 'kv_capacity': 10**12}),
    ],
)
def test_an_unusual_configuration_stays_valid(content):
    assert decode_configuration(content).version


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([2**53, 2**63, 2**70, HUGE, -1, 10**15]),
    st.floats(),
    st.text(alphabet=st.characters(), max_size=4),
    st.text(alphabet=st.characters(categories=['Cs', 'Cc']), max_size=2),
)
PLACES = [
    ('version',),
    *(('routes', 0, name) for name in VALID['routes'][0]),
    ('routes', 0, 'tpot_target_ms'),
    ('routes', 0, 'traffic_split', 0, 'weight'),
    ('backends', 0, 'engine', 'slots'),
    ('backends', 1, 'max_conns'),
    ('limits', 'max_header_bytes'),
    ('limits', 'idle_timeout_ms'),
    *(('tenants', 0, name) for name in VALID['tenants'][0]),
    ('tenants', 0, 'api_keys', 0),
]


@given(st.dictionaries(st.sampled_from(PLACES), SCALARS, max_size=3))
def test_any_value_of_a_field_is_refused_or_can_be_sent(changes):
    document = copy.deepcopy(VALID)
    for place, value in changes.items():
        part = document
        for step in place[:-1]:
            part = part[step]
            if not isinstance(part, (dict, list)):
                return
        part[place[-1]] = value
    try:
        routes = decode_configuration(encode(document))
    except InvalidConfiguration:
        return
    for route in routes.routes:
        encode_message(Ask(request='r', customer='', **ask_fields(route)))
    for customer in routes.customers:
        cost = int(customer.plain_cost + customer.rate_per_s + customer.burst)
        encode_message(Borrow(customer=customer.name, cost=cost))
    encode_message(PutDocument(version=routes.version, content=b''))


def ask_fields(route):
    return {
        'tier': route.tier,
        'prompt_tokens': 0,
        'output_tokens': 0,
        'objective_ms': int(route.objective_s * 1000),
        'deadline_ms': int(route.timeout_s * 1000),
        'patience_ms': int(8 * route.pause_s * 1000),
        'slots': 1,
    }


@given(st.data())
def test_corrupted_document_raises_no_other_error(data):
    text = encode(VALID).decode()
    start = data.draw(st.integers(0, len(text)))
    end = data.draw(st.integers(start, min(len(text), start + 30)))
    junk = data.draw(st.sampled_from(['', 'null', '0', '""', '[]', '{}', '-1', 'x']))
    content = (text[:start] + junk + text[end:]).encode()
    try:
        decode_configuration(content)
    except InvalidConfiguration as exc:
        assert str(exc)


def test_unknown_fields_are_ignored():
    document = copy.deepcopy(VALID)
    document['later'] = {'x': 1}
    document['routes'][0]['later'] = True
    assert decode_configuration(encode(document)).version == 7
