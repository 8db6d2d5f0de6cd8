from __future__ import annotations

import random

from pistachiopath.messages.claims import Done, Release
from pistachiopath.messages.replication import NotLeader
from pistachiopath.replication.leader_client import LeaderClient

ADDRESSES = ('a:1', 'b:1', 'c:1')
COMMAND = Release(key=b'k', binding=1)


def ask_until_answered(leader, limit_s, *, client=None, silent_replicas=()):
    """Send a command until it completes; return the addresses it was sent to.

    Replicas other than the leader redirect to the leader.  The result is None
    if the command does not complete within `limit_s`.
    """
    client = client or LeaderClient(addresses=ADDRESSES, rng=random.Random(1))
    sends = client.ask(1, COMMAND, 0.0)
    addresses_asked = []
    now = 0.0
    while now < limit_s:
        for send in sends:
            addresses_asked.append(send.to)
            if send.to in silent_replicas:
                continue
            body = Done() if send.to == leader else NotLeader(leader=leader)
            final, _ = client.answered(send.to, send.call, body, now)
            if final:
                return addresses_asked
        now += 0.05
        sends = client.tick(now)
    return None


def test_a_redirect_is_followed_to_the_leader():
    # Regression: the retry timer moved on from the address of a redirect.
    for leader in ADDRESSES:
        assert len(ask_until_answered(leader, 5.0)) <= 2


def test_a_silent_replica_is_skipped():
    for leader in ('b:1', 'c:1'):
        assert ask_until_answered(leader, 5.0, silent_replicas=('a:1',))[-1] == leader


def test_a_forgotten_command_is_not_resent():
    client = LeaderClient(addresses=ADDRESSES, rng=random.Random(1))
    client.ask(1, COMMAND, 0.0)
    client.forget(1)
    assert client.tick(10.0) == []


def completion_times(
    *, commands, delay_s, seed, dead_replica='a:1', leader='c:1', limit_s=20.0
):
    """Send several commands while one replica is down; return their durations.

    The other replicas reply to each message `delay_s` after it was sent.
    """
    rng = random.Random(seed)
    client = LeaderClient(addresses=ADDRESSES, rng=rng)
    ask_times = {call: rng.uniform(0.0, 1.0) for call in range(1, commands + 1)}
    durations, replies, sent = {}, [], set()
    now = 0.0
    while now < limit_s and len(durations) < commands:
        sends = client.tick(now)
        for call, at in ask_times.items():
            if call not in sent and at <= now:
                sent.add(call)
                sends += client.ask(call, COMMAND, now)
        while replies and replies[0][0] <= now:
            _, sender, call, body = replies.pop(0)
            final, effects = client.answered(sender, call, body, now)
            sends += effects
            if final:
                durations[call] = now - ask_times[call]
        for send in sends:
            if send.to != dead_replica:
                body = Done() if send.to == leader else NotLeader(leader=leader)
                replies.append((now + delay_s, send.to, send.call, body))
        now += 0.01
    assert len(durations) == commands
    return sorted(durations.values())


def test_many_commands_find_a_slow_leader_together():
    # Regression: each command that timed out changed the presumed leader, even
    # when another command had just changed it to the right replica.
    for delay_s in (0.01, 0.15, 0.3, 0.5):
        for seed in range(20):
            durations = completion_times(commands=12, delay_s=delay_s, seed=seed)
            assert durations[-1] < 2.0 + delay_s, (delay_s, seed, durations)
