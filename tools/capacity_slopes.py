"""Measures what each kind of state and message costs, at several sizes."""

from __future__ import annotations

import gc
import os
import random
import tempfile
import time
import tracemalloc
from pathlib import Path

import attrs

from pistachiopath.claims.table import ClaimTable
from pistachiopath.configuration.configuration import (
    Configuration,
    Customer,
    Tier,
    WorkClass,
)
from pistachiopath.control.compaction import STEP_CLAIMS
from pistachiopath.control.core import ControlCore
from pistachiopath.control.registry import LEASE_S
from pistachiopath.control.replicated_state import ReplicatedState
from pistachiopath.control.snapshot import pack_state, unpack_state
from pistachiopath.control.snapshot_writer import SnapshotWriter
from pistachiopath.membership.feed import Feed
from pistachiopath.membership.follower import FeedFollower
from pistachiopath.messages.claims import Bind
from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.membership import (
    HeartbeatAck,
    Load,
    View,
    ViewRequest,
)
from pistachiopath.quarantine.suspects import Suspects
from pistachiopath.replication.effects import SaveSnapshot, WriteSnapshotPart
from pistachiopath.replication.persisted import Persisted
from pistachiopath.routing.prefix_index import PrefixIndex
from pistachiopath.routing.targets import TargetTable
from pistachiopath.storage.snapshot_file import SnapshotFile
from pistachiopath.transport.codec import decode, encode
from tools import measure_views
from tools.measure_decisions import report

SIZES = (1000, 2000, 4000, 8000)
PAUSE_SIZES = (16_000, 32_000, 64_000, 128_000)
SOURCE = 'control-0'
REPEATS = 3


def traced(build):
    """Return the bytes that a built thing holds."""
    gc.collect()
    tracemalloc.start()
    held = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size


def cpu(action):
    """Return the least processor seconds of several runs of an action."""
    best = float('inf')
    for _ in range(REPEATS):
        began = time.process_time()
        action()
        best = min(best, time.process_time() - began)
    return best


def binds(number):
    """Return binds of new requests, as decoded from the wire."""
    commands = []
    for _ in range(number):
        cmd = Bind(
            key=os.urandom(16),
            fingerprint=os.urandom(16),
            attempt=os.urandom(8),
            target='target-in-dc1-0042',
            incarnation=7,
            address='10.11.12.13:7001',
        )
        commands.append(decode(encode(Envelope(call=1, body=cmd))).body)
    return commands


def claim_table(number):
    """Return a claim table with that many claims."""
    table = ClaimTable(suspects=Suspects())
    for cmd in binds(number):
        table.bind(cmd, 1_800_000_000_000)
    return table


def state_of(number):
    """Return a replicated state with that many claims."""
    state = ReplicatedState()
    for cmd in binds(number):
        state.claims.bind(cmd, 1_800_000_000_000)
    return state


def followed(number):
    """Return a feed of that many targets and an entry that knows it."""
    rng = random.Random(number)
    feed = Feed(feed_id=1, lease_s=LEASE_S)
    follower = FeedFollower(sources=(SOURCE,))
    for position in range(number):
        feed.update(report(position, rng), 0.0)
    return feed, follower


def take_view(feed, follower, table):
    """Ask for a view, send it and take it in."""
    view = feed.view(follower.request(SOURCE, 1, 'entry-a', 0.0), 1, 0.0)
    data = encode(Envelope(call=1, body=view))
    table.update(follower.apply(SOURCE, decode(data).body), 0.0)


def target_table(number):
    """Return what an entry keeps of that many targets."""
    feed, follower = followed(number)
    table = TargetTable()
    take_view(feed, follower, table)
    return table, follower


def configuration(customers):
    """Return a configuration with that many customers."""
    return Configuration(
        deployment='size',
        tiers=tuple(
            Tier(name=f't{n}', rank=n, promised=n < 3, deadline_s=60.0)
            for n in range(4)
        ),
        customers=tuple(
            Customer(
                name=f'customer-{n}',
                key_sha256=f'{n:064x}',
                requests_per_s=5.0,
                burst=20,
            )
            for n in range(customers)
        ),
        work=tuple(
            WorkClass(name=f'w{n}', tier='t0', model=f'm{n}') for n in range(13)
        ),
    )


def snapshot_cpu(number):
    """Return the seconds to write and read a snapshot of claims."""
    state = state_of(number)
    return cpu(lambda: unpack_state(pack_state(state)))


def snapshot_pause(number):
    """Return the longest step of writing a snapshot of claims, in seconds.

    Disk writes and syncs are part of a step, as in a control replica.
    """
    state = state_of(number)
    with tempfile.TemporaryDirectory() as name:
        file = SnapshotFile(path=Path(name) / 'snapshot')
        return min(longest_step(state, file) for _ in range(REPEATS))


def longest_step(state, file):
    began = time.perf_counter()
    writer = SnapshotWriter(state=state, index=1)
    pauses = []
    while True:
        offset, data = writer.step(STEP_CLAIMS)
        part = WriteSnapshotPart(index=1, term=1, members=(), offset=offset, data=data)
        file.write_part(part)
        if writer.is_done:
            break
        pauses.append(time.perf_counter() - began)
        began = time.perf_counter()
    file.save(SaveSnapshot(index=1, term=1, members=(), data=writer.data()))
    return max(*pauses, time.perf_counter() - began)


def configuration_cpu(number):
    """Return the seconds to read a configuration."""
    content = configuration(number).to_bytes()
    return cpu(lambda: Configuration.from_bytes(content))


def control():
    """Return a control replica that leads a group of one."""
    core = ControlCore(
        address='c:1',
        addresses=('c:1',),
        persisted=Persisted(member='m'),
        rng=random.Random(1),
        now=0.0,
    )
    now = 0.0
    while not core.is_serving:
        now += 0.1
        core.tick(now, 0)
        core.flush(now)
        core.synced(now)
    return core


def heartbeats_cpu(number):
    """Return the seconds to decode, handle and answer heartbeats."""
    core = control()
    rng = random.Random(1)
    beats = [encode(Envelope(call=0, body=report(n, rng))) for n in range(number)]
    ack = HeartbeatAck(sequence=1, lease_ms=2000, revision=1)

    def handle():
        for data in beats:
            core.registry.record_heartbeat('agent', decode(data).body, 0.0)
            encode(Envelope(call=0, body=ack))

    return cpu(handle)


def view_cpu(number):
    """Return the seconds to take in a view in which every load and speed is new."""
    feed, follower = followed(number)
    table = TargetTable()
    take_view(feed, follower, table)
    rng = random.Random(number)
    waiting = []
    for repeat in range(REPEATS):
        tokens = 10 ** (repeat + 2)
        for position in range(number):
            load = Load(window=8, prompt_tokens=tokens, output_tokens=tokens)
            beat = attrs.evolve(report(position, rng), load=load)
            feed.update(beat, 0.1)
        view = feed.view(follower.request(SOURCE, 1, 'entry-a', 0.1), 1, 0.1)
        waiting.append(encode(Envelope(call=1, body=view)))

    def take():
        view = decode(waiting.pop(0)).body
        table.update(follower.apply(SOURCE, view), 0.1)

    return cpu(take)


def prefix_index(number):
    """Return an index that holds that many chunks."""
    index = PrefixIndex()
    rng = random.Random(1)
    for n in range(number // 20):
        chunks = tuple(rng.getrandbits(64) for _ in range(20))
        index.record_prompt(f't{n % 24}', chunks, 2000)
    return index


def message_bytes():
    """Return the size of each frequent message."""
    rng = random.Random(1)
    beat = report(1, rng)
    bodies = {
        'Bind': binds(1)[0],
        'Heartbeat': beat,
        'HeartbeatAck': HeartbeatAck(sequence=1, lease_ms=2000, revision=1),
        'ViewRequest': ViewRequest(revision=1, entry='entry-a'),
        'View, nothing new': View(revision=1, targets=()),
    }
    sizes = {n: len(encode(Envelope(call=1, body=b))) for n, b in bodies.items()}
    sizes['View, described target'] = view_bytes(1) - sizes['View, nothing new']
    return sizes


def view_bytes(number):
    """Return the size of a first view of that many targets."""
    feed, follower = followed(number)
    view = feed.view(follower.request(SOURCE, 1, 'entry-a', 0.0), 1, 0.0)
    return len(encode(Envelope(call=1, body=view)))


def main():
    """Return raw figures by slope and size."""
    return {
        'claim memory, bytes': {n: traced(lambda n=n: claim_table(n)) for n in SIZES},
        'snapshot of claims, bytes': {n: len(pack_state(state_of(n))) for n in SIZES},
        'snapshot of claims, processor s': {n: snapshot_cpu(n) for n in SIZES},
        'longest pause of a snapshot, s': {n: snapshot_pause(n) for n in PAUSE_SIZES},
        'target in an entry, bytes': {
            n: traced(lambda n=n: target_table(n)) for n in SIZES
        },
        'target in a view, processor s': {n: view_cpu(n) for n in SIZES},
        'heartbeat at a control replica, processor s': {
            n: heartbeats_cpu(n) for n in SIZES
        },
        'customer in a configuration, bytes': {
            n: len(configuration(n).to_bytes()) for n in SIZES
        },
        'customer in a configuration, memory bytes': {
            n: traced(lambda n=n: configuration(n)) for n in SIZES
        },
        'customer in a configuration, processor s': {
            n: configuration_cpu(n) for n in SIZES
        },
        'prefix chunk in an entry, bytes': {
            n: traced(lambda n=n: prefix_index(n)) for n in SIZES
        },
        'message, bytes': message_bytes(),
        'views by targets, bytes a second': measure_views.main(),
    }


if __name__ == '__main__':
    for name, figures in main().items():
        print(name, figures)
