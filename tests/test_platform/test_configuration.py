from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.errors.configuration import InvalidConfiguration
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.routes.repetition import Repetition

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


@pytest.mark.parametrize('name', INVALID)
def test_invalid_configuration_raises(name):
    with pytest.raises(InvalidConfiguration):
        decode_configuration(INVALID[name])


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
