from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.agent.model_list import decode_model_list
from pistachiopath.transport.codec import encode_message

GOOD = {'model': 'm', 'version': 'v1', 'adapters': ['a'], 'ready': True}


def content(*items):
    return json.dumps({'models': items}).encode()


@pytest.mark.parametrize(
    'changes',
    [
        {'model': '\ud800'},
        {'model': 7},
        {'version': 3},
        {'version': 'v' * 100_000},
        {'adapters': ['a', 10**400]},
        {'adapters': 'abc'},
        {'adapters': ['\n']},
        {'ready': 'yes'},
        {'ready': None},
    ],
    ids=lambda c: str(c)[:30],
)
def test_an_odd_model_is_left_out_by_itself(changes, caplog):
    # Regression: no heartbeat with it could be sent, and the target lost its lease.
    models = decode_model_list(content(GOOD, GOOD | changes, {}, [], GOOD))
    assert [m.model for m in models] == ['m', 'm']
    (line,) = caplog.records
    assert (line.msg, line.number) == ('models_left_out', 3)


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'{}',
        b'[]',
        b'{"models": 3}',
        b'{"models": "abc"}',
        b'[' * 100_000,
        b'\xff',
    ],
    ids=lambda d: str(d[:20]),
)
def test_an_unreadable_list_is_no_list(data):
    assert decode_model_list(data) is None


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda v: st.lists(v, max_size=2) | st.dictionaries(st.sampled_from([*GOOD]), v),
    max_leaves=8,
)


@given(st.lists(VALUES | st.fixed_dictionaries(dict.fromkeys(GOOD, VALUES))))
def test_any_list_gives_models_that_can_be_sent(items):
    for model in decode_model_list(content(*items)):
        encode_message(model)


@given(st.binary(max_size=80))
def test_any_bytes_give_models_or_none(data):
    assert decode_model_list(data) is None
