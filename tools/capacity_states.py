"""States of a given size, whose costs are measured."""

from __future__ import annotations

import os
import random

from pistachiopath.claims.table import ClaimTable
from pistachiopath.configuration.configuration import (
    Configuration,
    Customer,
    Tier,
    WorkClass,
)
from pistachiopath.control.registry import LEASE_S
from pistachiopath.control.replicated_state import ReplicatedState
from pistachiopath.membership.feed import Feed
from pistachiopath.membership.follower import FeedFollower
from pistachiopath.messages.claims import Bind
from pistachiopath.messages.envelope import Envelope
from pistachiopath.quarantine.suspects import Suspects
from pistachiopath.routing.prefix_index import PrefixIndex
from pistachiopath.routing.targets import TargetTable
from pistachiopath.transport.codec import decode, encode
from tools.measure_decisions import make_heartbeat

FEED_SOURCE = 'control-0'


def make_binds(number):
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
    for cmd in make_binds(number):
        table.bind(cmd, 1_800_000_000_000)
    return table


def state_with_claims(number):
    """Return a replicated state with that many claims."""
    state = ReplicatedState()
    for cmd in make_binds(number):
        state.claims.bind(cmd, 1_800_000_000_000)
    return state


def feed_and_follower(number):
    """Return a feed of that many targets and an entry's follower of feeds."""
    rng = random.Random(number)
    feed = Feed(feed_id=1, lease_s=LEASE_S)
    follower = FeedFollower(sources=(FEED_SOURCE,))
    for position in range(number):
        feed.update(make_heartbeat(position, rng), 0.0)
    return feed, follower


def apply_view(feed, follower, table):
    """Request a view, encode and decode it, and apply it to the table."""
    view = feed.view(follower.request(FEED_SOURCE, 1, 'entry-a', 0.0), 1, 0.0)
    data = encode(Envelope(call=1, body=view))
    table.update(follower.apply(FEED_SOURCE, decode(data).body), 0.0)


def target_table(number):
    """Return the table and follower that an entry keeps for that many targets."""
    feed, follower = feed_and_follower(number)
    table = TargetTable()
    apply_view(feed, follower, table)
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


def prefix_index(number):
    """Return an index that holds that many chunks."""
    index = PrefixIndex()
    rng = random.Random(1)
    for n in range(number // 20):
        chunks = tuple(rng.getrandbits(64) for _ in range(20))
        index.record_prompt(f't{n % 24}', chunks, 2000)
    return index
