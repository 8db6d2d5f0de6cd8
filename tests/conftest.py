from __future__ import annotations

import gc

import pytest
from hypothesis import settings

from tests.harness.leftovers import end_greenlets

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=150, database=None
)
settings.load_profile('ci')


@pytest.fixture(scope='session')
def examples():
    from pathlib import Path

    return Path(__file__).parent.parent / 'examples'


@pytest.fixture(autouse=True)
def small_heap():
    """Keep the collector from the objects of earlier tests: that takes up to 0.4 s."""
    gc.collect()
    gc.freeze()


@pytest.fixture(autouse=True)
def no_leftovers(small_heap):
    """End what the test leaves running, after its own fixtures were torn down."""
    yield
    end_greenlets()
