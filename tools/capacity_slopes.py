"""Measures the cost of each kind of state and message at several sizes."""

from __future__ import annotations

import gc
import random
import tempfile
import time
import tracemalloc
from pathlib import Path

import attrs

from pistachiopath.configuration.configuration import (
    Configuration,
)
from pistachiopath.control.compaction import STEP_CLAIMS
from pistachiopath.control.snapshot import pack_state, unpack_state
from pistachiopath.control.snapshot_writer import SnapshotWriter
from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.membership import (
    HeartbeatAck,
    Load,
    View,
    ViewRequest,
)
from pistachiopath.replication.effects import SaveSnapshot, WriteSnapshotPart
from pistachiopath.routing.targets import TargetTable
from pistachiopath.storage.snapshot_file import SnapshotFile
from pistachiopath.transport.codec import decode, encode
from tools import measure_views
from tools.capacity_states import (
    FEED_SOURCE,
    apply_view,
    claim_table,
    configuration,
    feed_and_follower,
    make_binds,
    prefix_index,
    state_with_claims,
    target_table,
)
from tools.leading_control import leading_control
from tools.measure_decisions import make_heartbeat

SIZES = (1000, 2000, 4000, 8000)
PAUSE_SIZES = (16_000, 32_000, 64_000, 128_000)
REPETITIONS = 3


def allocated_bytes(build):
    """Return the bytes that the result of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    result = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size


def min_cpu_s(action):
    """Return the lowest processor seconds of several runs of an action."""
    lowest_s = float('inf')
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        action()
        lowest_s = min(lowest_s, time.process_time() - started_at)
    return lowest_s


def snapshot_cpu(number):
    """Return the seconds to write and read a snapshot of claims."""
    state = state_with_claims(number)
    return min_cpu_s(lambda: unpack_state(pack_state(state)))


def snapshot_pause(number):
    """Return the longest step of writing a snapshot of claims, in seconds.

    Disk writes and syncs are part of a step, as in a control replica.
    """
    state = state_with_claims(number)
    with tempfile.TemporaryDirectory() as name:
        file = SnapshotFile(path=Path(name) / 'snapshot')
        return min(longest_step(state, file) for _ in range(REPETITIONS))


def longest_step(state, file):
    started_at = time.perf_counter()
    writer = SnapshotWriter(state=state, index=1)
    pauses = []
    while True:
        offset, data = writer.step(STEP_CLAIMS)
        part = WriteSnapshotPart(index=1, term=1, members=(), offset=offset, data=data)
        file.write_part(part)
        if writer.is_done:
            break
        pauses.append(time.perf_counter() - started_at)
        started_at = time.perf_counter()
    file.save(SaveSnapshot(index=1, term=1, members=(), data=writer.data()))
    return max(*pauses, time.perf_counter() - started_at)


def configuration_cpu(number):
    """Return the seconds to parse a configuration."""
    content = configuration(number).to_bytes()
    return min_cpu_s(lambda: Configuration.from_bytes(content))


def heartbeats_cpu(number):
    """Return the seconds to decode, handle and answer heartbeats."""
    core, _ = leading_control()
    rng = random.Random(1)
    encoded_heartbeats = [
        encode(Envelope(call=0, body=make_heartbeat(n, rng))) for n in range(number)
    ]
    ack = HeartbeatAck(sequence=1, lease_ms=2000, revision=1)

    def handle():
        for data in encoded_heartbeats:
            core.registry.record_heartbeat('agent', decode(data).body, 0.0)
            encode(Envelope(call=0, body=ack))

    return min_cpu_s(handle)


def view_cpu(number):
    """Return the seconds to apply a view in which every load and rate is new."""
    feed, follower = feed_and_follower(number)
    table = TargetTable()
    apply_view(feed, follower, table)
    rng = random.Random(number)
    encoded_views = []
    for repeat in range(REPETITIONS):
        tokens = 10 ** (repeat + 2)
        for position in range(number):
            load = Load(window=8, prompt_tokens=tokens, output_tokens=tokens)
            heartbeat = attrs.evolve(make_heartbeat(position, rng), load=load)
            feed.update(heartbeat, 0.1)
        view = feed.view(follower.request(FEED_SOURCE, 1, 'entry-a', 0.1), 1, 0.1)
        encoded_views.append(encode(Envelope(call=1, body=view)))

    def apply_next():
        view = decode(encoded_views.pop(0)).body
        table.update(follower.apply(FEED_SOURCE, view), 0.1)

    return min_cpu_s(apply_next)


def message_bytes():
    """Return the size of each frequent message."""
    rng = random.Random(1)
    heartbeat = make_heartbeat(1, rng)
    bodies = {
        'Bind': make_binds(1)[0],
        'Heartbeat': heartbeat,
        'HeartbeatAck': HeartbeatAck(sequence=1, lease_ms=2000, revision=1),
        'ViewRequest': ViewRequest(revision=1, entry='entry-a'),
        'View, nothing new': View(revision=1, targets=()),
    }
    sizes = {n: len(encode(Envelope(call=1, body=b))) for n, b in bodies.items()}
    sizes['View, described target'] = view_bytes(1) - sizes['View, nothing new']
    return sizes


def view_bytes(number):
    """Return the size of a first view of that many targets."""
    feed, follower = feed_and_follower(number)
    view = feed.view(follower.request(FEED_SOURCE, 1, 'entry-a', 0.0), 1, 0.0)
    return len(encode(Envelope(call=1, body=view)))


def main():
    """Return raw figures by slope and size."""
    return {
        'claim memory, bytes': {
            n: allocated_bytes(lambda n=n: claim_table(n)) for n in SIZES
        },
        'snapshot of claims, bytes': {
            n: len(pack_state(state_with_claims(n))) for n in SIZES
        },
        'snapshot of claims, processor s': {n: snapshot_cpu(n) for n in SIZES},
        'longest pause of a snapshot, s': {n: snapshot_pause(n) for n in PAUSE_SIZES},
        'target in an entry, bytes': {
            n: allocated_bytes(lambda n=n: target_table(n)) for n in SIZES
        },
        'target in a view, processor s': {n: view_cpu(n) for n in SIZES},
        'heartbeat at a control replica, processor s': {
            n: heartbeats_cpu(n) for n in SIZES
        },
        'customer in a configuration, bytes': {
            n: len(configuration(n).to_bytes()) for n in SIZES
        },
        'customer in a configuration, memory bytes': {
            n: allocated_bytes(lambda n=n: configuration(n)) for n in SIZES
        },
        'customer in a configuration, processor s': {
            n: configuration_cpu(n) for n in SIZES
        },
        'prefix chunk in an entry, bytes': {
            n: allocated_bytes(lambda n=n: prefix_index(n)) for n in SIZES
        },
        'message, bytes': message_bytes(),
        'views by targets, bytes a second': measure_views.main(),
    }


if __name__ == '__main__':
    for name, figures in main().items():
        print(name, figures)
