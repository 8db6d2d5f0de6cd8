from __future__ import annotations

import pytest
from hypothesis import settings

settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=150, database=None
)
settings.load_profile('ci')


@pytest.fixture(scope='session')
def examples():
    from pathlib import Path

    return Path(__file__).parent.parent / 'examples'
