from __future__ import annotations

import random
import time

import attrs
import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.errors.relay import PlaceDenied, TurnedAway
from pistachiopath.grants.watch import KnownLoad
from pistachiopath.messages.grants import GateLoad, TierLoad
from pistachiopath.relay.placer import (
    MAX_UNKNOWN_LOAD_MOVES,
    NO_TARGET_WAIT_SHARE,
    Placer,
)
from pistachiopath.routing.placement import Candidate, Placement
from tests.test_directory.records import record

from .streams import stream_work

SLOTS = 5


def candidate(name, *, running, waiting=0, free_in_ms=0):
    tiers = (TierLoad(tier=1, waiting=waiting, work_ms=200 * waiting),)
    load = GateLoad(
        slots=SLOTS,
        running=running,
        waiting=tiers if waiting else (),
        free_in_ms=free_in_ms,
        ms_per_1000_prompt_tokens=30,
        ms_per_1000_output_tokens=1000,
    )
    return Candidate(
        record=record(replica=name, address=f'10.0.0.{name[-1]}:80', slots=SLOTS),
        load=KnownLoad(load=load, received_at=time.monotonic()),
        is_silent=False,
    )


class FakeTargets:
    def __init__(self, candidates):
        self.all = candidates

    def candidates(self, service, excluded, now):
        return [c for c in self.all if c.record.replica not in excluded]

    def gate(self, replica_record):
        return replica_record.replica

    def first_backoff_end(self, service, now):
        return None


class Gates:
    """Denies places at the gates `denying`; others grant one unless it should move."""

    def __init__(self, denying=()):
        self.denying = denying
        self.asked = []
        self.patience_ms = []
        self.memory_tokens = []
        self.moved = False

    def acquire(self, gate, ask, should_move):
        self.asked.append(gate)
        self.patience_ms.append(ask.patience_ms)
        self.memory_tokens.append(ask.memory_tokens)
        if gate in self.denying:
            raise PlaceDenied(retry_after_s=0.5)
        self.moved = should_move()
        return None if self.moved else gate


def placer_for(candidates, gates, *, quarantined=False):
    return Placer(
        places=gates,
        placement=Placement(zone='a', rng=random.Random(1)),
        targets=FakeTargets(candidates),
        is_quarantined=lambda work, now: quarantined,
        rng=random.Random(2),
    )


def place(candidates, gates, tier=1):
    """Place one request; return its gate, or None once it moves."""
    work = stream_work(time.monotonic(), tier=tier, timeout_s=6.0)
    placer = placer_for(candidates, gates)
    while True:
        grant = placer.acquire(work, placer.choose(work))
        if grant or gates.moved:
            return grant


def test_one_gate_that_denies_a_place_does_not_turn_a_request_away():
    # Regression: requests that had waited were refused by the gate to which they
    # had moved.
    gates = Gates(denying=('r1',))
    candidates = [candidate('r1', running=0), candidate('r2', running=SLOTS)]
    assert place(candidates, gates) == 'r2'
    assert gates.asked == ['r1', 'r2']


def test_two_gates_that_deny_a_place_turn_a_request_away_with_retry_after():
    gates = Gates(denying=('r1', 'r2', 'r3'))
    candidates = [candidate(f'r{n}', running=SLOTS) for n in (1, 2, 3)]
    with pytest.raises(TurnedAway) as caught:
        place(candidates, gates)
    assert (caught.value.status, caught.value.reason) == (503, 'no_place')
    assert caught.value.retry_after_s > 0
    assert len(set(gates.asked)) == 2


def test_a_single_gate_is_not_asked_forever():
    gates = Gates(denying=('r1',))
    with pytest.raises(TurnedAway):
        place([candidate('r1', running=SLOTS)], gates)
    assert gates.asked == ['r1', 'r1']


def test_a_stream_that_broke_off_late_is_given_time_to_wait_for_a_place():
    gates = Gates()
    now = time.monotonic()
    work = stream_work(now - 5.0, timeout_s=15.0, objective_s=0.4, pause_s=0.4)
    work.last_event_at = now
    placer = placer_for([candidate('r1', running=SLOTS)], gates)
    placer.acquire(work, placer.choose(work))
    assert gates.patience_ms[0] > 2000


class ChangingGates(Gates):
    """Replaces the second candidate while a request waits at the first gate."""

    def __init__(self, targets, later):
        super().__init__()
        self.targets = targets
        self.later = later

    def acquire(self, gate, ask, should_move):
        self.targets[:] = [self.targets[0], self.later]
        return super().acquire(gate, ask, should_move)


def moves(first, later, tier=1):
    targets = [first, candidate('r2', running=SLOTS, free_in_ms=5000)]
    gates = ChangingGates(targets, later)
    place(targets, gates, tier)
    return gates.moved


def test_a_waiting_request_moves_to_a_free_place():
    first = candidate('r1', running=SLOTS, waiting=2, free_in_ms=100)
    assert moves(first, candidate('r2', running=1))


def test_a_waiting_request_moves_to_another_queue_only_for_a_large_gain():
    first = candidate('r1', running=SLOTS, waiting=2, free_in_ms=100)
    assert not moves(first, candidate('r2', running=SLOTS, free_in_ms=60))
    stuck = candidate('r1', running=SLOTS, waiting=2, free_in_ms=3000)
    assert moves(stuck, candidate('r2', running=SLOTS, free_in_ms=60))


def test_a_request_moves_away_from_an_unreachable_gate():
    awaited = attrs.evolve(candidate('r1', running=0), load=None, awaits_gate=True)
    full = candidate('r2', running=SLOTS, free_in_ms=5000)
    assert not moves(awaited, full)
    lost = attrs.evolve(awaited, awaits_gate=False)
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    assert placer_for([lost, full], Gates()).acquire(work, awaited) is None


def test_a_new_request_moves_to_a_few_gates_with_unknown_load():
    busy = candidate('r1', running=SLOTS, waiting=2, free_in_ms=400)
    unknown = [
        attrs.evolve(candidate(f'r{n}', running=0), load=None, awaits_gate=True)
        for n in range(2, 9)
    ]
    placer = placer_for([busy, *unknown], Gates())
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    moved = [
        placer.acquire(work, busy) is None for _ in range(MAX_UNKNOWN_LOAD_MOVES + 2)
    ]
    assert moved == [True] * MAX_UNKNOWN_LOAD_MOVES + [False, False]


def test_a_request_does_not_move_to_a_place_that_its_tier_leaves_free():
    first = candidate('r1', running=SLOTS, waiting=2, free_in_ms=100)
    assert not moves(first, candidate('r2', running=SLOTS - 1), tier=2)
    assert moves(first, candidate('r2', running=SLOTS - 1), tier=0)


def ungated(name):
    return attrs.evolve(
        candidate(name, running=0), load=None, ungated_places=1, shared_places=1
    )


def test_a_request_that_waits_for_an_own_place_moves_to_a_free_engine_with_a_gate():
    waiting = ungated('r1')
    targets = [waiting, candidate('r2', running=1)]
    placer = placer_for(targets, Gates())
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    for _ in range(3):
        placer._placement.add_request('r1', work.need, time.monotonic())
    assert placer.acquire(work, waiting) is None


def test_a_request_that_waits_for_an_own_place_does_not_change_between_such_engines():
    waiting = ungated('r1')
    gates = Gates()
    placer = placer_for([waiting, ungated('r2')], gates)
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    for _ in range(3):
        placer._placement.add_request('r1', work.need, time.monotonic())
    assert placer.acquire(work, waiting) == 'own:model'


def test_a_request_whose_content_is_quarantined_leaves_its_wait_at_once():
    gates = Gates()
    candidates = [candidate('r1', running=0)]
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    placer = placer_for(candidates, gates, quarantined=True)
    assert placer.acquire(work, placer.choose(work)) is None
    assert gates.moved


def test_a_request_does_not_leave_its_wait_for_a_replica_that_it_will_not_choose():
    waiting = ungated('r1')
    targets = [waiting, candidate('r2', running=0), candidate('r3', running=0)]
    gates = Gates()
    placer = placer_for(targets, gates)
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    work.excluded.add('r2')
    work.denied.add('r3')
    for _ in range(3):
        placer._placement.add_request('r1', work.need, time.monotonic())
    assert placer.choose(work) is waiting
    assert placer.acquire(work, waiting) == 'own:model'


def test_a_request_in_its_own_place_is_not_counted_against_that_place():
    waiting = ungated('r1')
    placer = placer_for([waiting, candidate('r2', running=0)], Gates())
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    placer._placement.add_request('r1', work.need, time.monotonic())
    assert placer.acquire(work, waiting) == 'own:model'


@pytest.mark.parametrize('wait_s', [0.0, 0.3])
def test_a_replica_that_is_announced_during_a_pause_of_this_process_is_chosen(wait_s):
    # The request was refused before the announcement was read.
    targets = []
    placer = placer_for(targets, Gates())
    work = stream_work(time.monotonic(), timeout_s=6.0)
    here, there = gsocket.socketpair()

    def read_announcement():
        here.recv(1)
        targets.append(candidate('r1', running=0))

    gevent.spawn(read_announcement)
    choosing = gevent.spawn(placer.choose, work)
    gevent.sleep(wait_s)
    there.send(b'x')
    time.sleep(NO_TARGET_WAIT_SHARE * work.admitted.route.objective_s)
    assert choosing.get(timeout=5.0).record.replica == 'r1'


@pytest.mark.parametrize(
    ('switch', 'share', 'asked'),
    [(True, 1.0, 200_000), (True, 0.25, 50_000), (False, 1.0, 0)],
)
def test_a_gate_is_asked_with_its_part_of_the_memory(switch, share, asked):
    # An entry's own gate would otherwise grant an engine's whole memory, and so would
    # the own gates of all other entries.
    found = attrs.evolve(candidate('r1', running=0), memory_share=share)
    gates = Gates()
    work = stream_work(time.monotonic(), tier=1, timeout_s=6.0)
    work.admitted = attrs.evolve(
        work.admitted, is_final_urgent=switch, memory_tokens=200_000
    )
    placer_for([found], gates).acquire(work, found)
    assert gates.memory_tokens == [asked]
    assert work.need.is_final_urgent == switch
