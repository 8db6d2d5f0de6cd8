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


def answer_times(*, questions, delay_s, seed, dead='a:1', leader='c:1', seconds=20.0):
    """Ask several commands while the presumed leader is dead; return the waits.

    Live replicas answer every message `delay_s` after it was sent.
    """
    rng = random.Random(seed)
    client = LeaderClient(addresses=ADDRESSES, rng=rng)
    asked_at = {call: rng.uniform(0.0, 1.0) for call in range(1, questions + 1)}
    waits, answers, started = {}, [], set()
    now = 0.0
    while now < seconds and len(waits) < questions:
        sends = client.tick(now)
        for call, at in asked_at.items():
            if call not in started and at <= now:
                started.add(call)
                sends += client.ask(call, COMMAND, now)
        while answers and answers[0][0] <= now:
            _, sender, call, body = answers.pop(0)
            final, effects = client.answered(sender, call, body, now)
            sends += effects
            if final:
                waits[call] = now - asked_at[call]
        for send in sends:
            if send.to != dead:
                body = Done() if send.to == leader else NotLeader(leader=leader)
                answers.append((now + delay_s, send.to, send.call, body))
        now += 0.01
    assert len(waits) == questions
    return sorted(waits.values())


def test_many_commands_find_a_slow_leader_together():
    # Failing first: each command that timed out moved the presumed leader on,
    # also when another one had just moved it to the right replica.
    for delay_s in (0.01, 0.15, 0.3, 0.5):
        for seed in range(20):
            waits = answer_times(questions=12, delay_s=delay_s, seed=seed)
            assert waits[-1] < 2.0 + delay_s, (delay_s, seed, waits)
