from __future__ import annotations

import json

import pytest

from pistachiopath.errors.configuration import InvalidConfiguration
from pistachiopath.platform.registration import decode_announcement

VALID = {
    'backend': 'model',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 5,
    'state': 'ready',
    'warmup_left_ms': 0,
    'sequence': 4,
    'born': 1700000000000,
}


def decode(**changes):
    return decode_announcement('r', json.dumps(VALID | changes).encode())


def test_announcement_is_decoded():
    record = decode(state='draining')
    assert record.replica == 'r'
    assert record.service == 'model'
    assert record.state == 'draining'
    assert record.born_ms == 1700000000000
    assert record.software_version == ''
    assert decode(version='v1.2').software_version == 'v1.2'


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'resting'},
        {'state': None},
        {'address': 'nowhere'},
        {'address': 7},
        {'sequence': 'four'},
        {'slots': True},
        {'backend': None},
        {'zone': []},
        {'version': 7},
        {'version': 'v' * 257},
    ],
)
def test_announcement_with_an_invalid_field_raises(changes):
    with pytest.raises(InvalidConfiguration):
        decode(**changes)


@pytest.mark.parametrize('content', [b'', b'{', b'[1]', b'\xff', b'null'])
def test_announcement_that_is_no_json_object_raises(content):
    with pytest.raises(InvalidConfiguration):
        decode_announcement('r', content)
