"""Settings are read by two converters, which must not differ."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.configuration.flat_table import structure_flat
from pistachiopath.configuration.table_converter import structure_nested
from pistachiopath.errors.settings import InvalidFile
from pistachiopath.platform.settings import PlatformSettings

VALID = {
    'name': 'n',
    'role': 'entry',
    'zone': 'a',
    'ip': '127.0.0.1',
    'ports': [7600, 7615],
    'seeds': ['127.0.0.1:8229'],
}
KEYS = (*VALID, 'callers', 'is_first_start', 'grace_s', 'tolerated_losses', 'unknown')
SCALAR = st.one_of(
    st.text(max_size=3),
    st.integers(),
    st.floats(),
    st.booleans(),
    st.none(),
    st.sampled_from(('', '10.0.0.1:80', '10.0.0.1:0', 2**70)),
)
VALUE = st.one_of(
    SCALAR, st.lists(SCALAR, max_size=3), st.dictionaries(st.text(), SCALAR, max_size=1)
)


def nested(data):
    try:
        return structure_nested(data, PlatformSettings, 's.toml')
    except InvalidFile:
        return None


@given(st.dictionaries(st.sampled_from(KEYS), VALUE, max_size=3))
def test_both_converters_accept_the_same_settings(changes):
    # Guards against settings that are accepted without a check, or mean something
    # else, because no table is nested in them.
    data = VALID | changes
    flat = structure_flat(data, PlatformSettings)
    assert repr(flat) == repr(nested(data))


@pytest.mark.parametrize('key', ('name', 'ports'))
def test_a_missing_value_is_left_to_the_converter_that_reports_it(key):
    data = {k: v for k, v in VALID.items() if k != key}
    assert structure_flat(VALID, PlatformSettings) == nested(VALID)
    assert structure_flat(data, PlatformSettings) is None


@pytest.mark.parametrize('data', (None, [], 'text', 7))
def test_what_is_no_table_is_left_to_the_converter_that_reports_it(data):
    assert structure_flat(data, PlatformSettings) is None
