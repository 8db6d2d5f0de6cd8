"""Configurations in quick succession on a fleet with slow links."""

from __future__ import annotations

import random

import pytest

from pistachiopath.directory.content_transfers import MAX_CONTENT_BYTES_SENT
from pistachiopath.document.core import COMPACT_BYTES
from pistachiopath.document.timing import DOCUMENT_TIMING
from tests.harness.configuration_fleet import ConfigurationFleet
from tests.harness.documents import document

# From an acknowledgement until a configuration is in force at all entries.
FORCE_S = 2.5
PUT_INTERVAL_S = 0.2
START_S = 3.0
SETTLE_S = 4.0
RATE = 6.25e6
ENTRY_RATE = 0.625e6
SLOW_ENTRY_RATE = 0.1e6


def run_fleet(contents, *, controls, entries, entry_rate=ENTRY_RATE):
    fleet = ConfigurationFleet(
        seed=1,
        controls=controls,
        slow_controls=0,
        entries=entries,
        rate=RATE,
        entry_rate=entry_rate,
        tolerated=2,
    )
    fleet.run(START_S)
    for content in contents:
        fleet.put_next(content)
        fleet.run(PUT_INTERVAL_S)
    fleet.run(SETTLE_S)
    return fleet


@pytest.mark.parametrize(('controls', 'entries'), [(6, 26), (10, 70)])
def test_a_thousand_routes_are_in_force_in_time_though_versions_come_quickly(
    controls, entries
):
    # Regression: entries were 4 s late, and control nodes held 65 MB.
    contents = [document(1063, seed=number) for number in range(12)]
    fleet = run_fleet(contents, controls=controls, entries=entries)
    assert sorted(fleet.acked_at) == list(range(1, 13))
    assert max(fleet.delays_s().values()) <= FORCE_S


def memory_bound(size, controls):
    """Return what a control node may hold of documents of a size, in bytes.

    That is the log until it is compacted, what is on its way to followers, one
    window for each other control node, and the document itself: held, in the
    snapshot, passed on to the leader, and waiting there.
    """
    windows = (controls - 1) * DOCUMENT_TIMING.window_bytes
    return COMPACT_BYTES + MAX_CONTENT_BYTES_SENT + windows + 4 * size


@pytest.mark.parametrize('size', [100_000, 500_000, 1_000_000])
def test_slow_readers_of_many_versions_take_a_bounded_part_of_memory(size):
    # Regression: it grew by routes x versions x readers, to 66 MB in this model.
    rng = random.Random(1)
    contents = [rng.randbytes(size) for _ in range(12)]
    fleet = run_fleet(contents, controls=6, entries=26, entry_rate=SLOW_ENTRY_RATE)
    assert fleet.acked_at
    assert fleet.peak_bytes() <= memory_bound(size, 6)


def test_a_sound_group_keeps_its_leader_while_large_documents_come():
    # Regression: heartbeats waited behind documents for longer than an election
    # timeout.
    rng = random.Random(1)
    contents = [rng.randbytes(350_000) for _ in range(12)]
    fleet = run_fleet(contents, controls=6, entries=26)
    assert {node.replica.term for node in fleet.nodes.values()} == {1}
