from __future__ import annotations

import random

from pistachiopath.messages.claims import Done, Release
from pistachiopath.messages.replication import NotLeader
from pistachiopath.replication.leader_client import LeaderClient

ADDRESSES = ('a:1', 'b:1', 'c:1')
COMMAND = Release(key=b'k', binding=1)


def drive(leader, seconds, *, client=None, silent=()):
    """Ask until answered, with replicas that redirect to the leader."""
    client = client or LeaderClient(addresses=ADDRESSES, rng=random.Random(1))
    pending = client.ask(1, COMMAND, 0.0)
    asked = []
    now = 0.0
    while now < seconds:
        for send in pending:
            asked.append(send.to)
            if send.to in silent:
                continue
            body = Done() if send.to == leader else NotLeader(leader=leader)
            final, _ = client.answered(send.to, send.call, body, now)
            if final:
                return asked
        now += 0.05
        pending = client.tick(now)
    return None


def test_a_redirect_leads_to_the_leader():
    # Failing first: the timer rotated away from the address of a redirect.
    for leader in ADDRESSES:
        assert len(drive(leader, 5.0)) <= 2


def test_a_silent_replica_is_passed_over():
    for leader in ('b:1', 'c:1'):
        assert drive(leader, 5.0, silent=('a:1',))[-1] == leader


def test_a_forgotten_command_is_not_resent():
    client = LeaderClient(addresses=ADDRESSES, rng=random.Random(1))
    client.ask(1, COMMAND, 0.0)
    client.forget(1)
    assert client.tick(10.0) == []
