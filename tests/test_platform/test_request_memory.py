from __future__ import annotations

import pytest

from pistachiopath.platform.settings import MIB, PlatformSettings


@pytest.mark.parametrize(
    ('stated', 'expected_mb'),
    [
        ({}, 16),
        ({'memory_mb': 128}, 16),
        ({'memory_mb': 88.0}, 11),
        ({'memory_mb': 128, 'request_memory_mb': 40}, 40),
    ],
)
def test_the_budget_follows_the_memory_of_the_vm_unless_it_is_stated(
    stated, expected_mb
):
    # Guards against a budget that does not fit the VM, or is 0 where nothing is stated.
    cfg = PlatformSettings(
        name='n', role='entry', zone='a', ip='10.0.0.1', ports=(7600, 7615), **stated
    )
    assert cfg.request_memory_bytes == expected_mb * MIB
