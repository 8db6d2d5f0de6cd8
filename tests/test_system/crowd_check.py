"""Checks what a crowd of clients may take from the process that serves them."""

from __future__ import annotations

from tools.cluster import wait_until

from .crowd import Crowd, ProcessUse

MIB = 1024 * 1024
CROWD = 24
# Largest growth of the process's memory while the crowd is connected, and after it.
PEAK_GROWTH_KB = 40 * 1024
LASTING_GROWTH_KB = 20 * 1024
# Descriptors beside one a client: connections to replicas and other nodes.
OTHER_DESCRIPTORS = 24


def check_crowd(process, address, data, is_served, *, size=CROWD, rounds=1):
    """Let crowds come one after another; check the bounds and that others are served.

    `data` is the head and the body that each client sends.
    """
    use = ProcessUse(process.pid)
    for _ in range(rounds):
        with Crowd(address=address, head=data[0], body=data[1], size=size):
            assert process.poll() is None, 'the process has ended'
            assert use.descriptors <= use.rest_descriptors + size + OTHER_DESCRIPTORS
    wait_until(is_served, 'an ordinary request is not answered')
    assert process.poll() is None, 'the process has ended'
    growth_kb = use.peak_kb - use.rest_kb
    assert growth_kb <= PEAK_GROWTH_KB, f'peak {growth_kb} kB above {use.rest_kb} kB'
    wait_until(
        lambda: use.descriptors <= use.rest_descriptors + OTHER_DESCRIPTORS,
        'descriptors are not closed',
    )
    wait_until(
        lambda: use.resident_kb - use.rest_kb <= LASTING_GROWTH_KB,
        'memory is not returned',
    )
