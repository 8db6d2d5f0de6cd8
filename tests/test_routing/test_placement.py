from __future__ import annotations

import random

import attrs

from pistachiopath.grants.watch import KnownLoad
from pistachiopath.messages.grants import GateLoad, TierLoad
from pistachiopath.routing.placement import Candidate, Need, Placement
from pistachiopath.routing.prompt_part import PromptPart
from tests.test_directory.records import record

PARTS = (
    PromptPart(part_id='shared', tokens=60),
    PromptPart(part_id='subject', tokens=2940),
)


def load(running=0, waiting=(), free_in_ms=0, prompt=30, output=1000):
    return KnownLoad(
        load=GateLoad(
            slots=4,
            running=running,
            waiting=tuple(waiting),
            free_in_ms=free_in_ms,
            ms_per_1000_prompt_tokens=prompt,
            ms_per_1000_output_tokens=output,
        ),
        received_at=10.0,
    )


def candidate(name, known_load=None, zone='a', is_silent=False, ungated_places=0):
    replica = record(replica=name, zone=zone, address=f'10.0.0.{ord(name[-1])}:80')
    return Candidate(
        record=replica,
        load=known_load,
        is_silent=is_silent,
        ungated_places=ungated_places,
    )


def make_placement():
    return Placement(zone='a', rng=random.Random(1))


def chosen(placement, candidates, need, now=10.0, repeats=30):
    return {
        placement.choose(candidates, need, now).record.replica for _ in range(repeats)
    }


NEED = Need(tier=1, prompt_tokens=3000, output_tokens=50)


def test_idle_engine_is_preferred_to_busy_and_fast_to_slow():
    placement = make_placement()
    busy = candidate('r1', load(running=4, free_in_ms=80))
    idle = candidate('r2', load())
    assert chosen(placement, [busy, idle], NEED) == {'r2'}
    slow = candidate('r3', load(prompt=90, output=3000))
    assert chosen(placement, [slow, idle], NEED) == {'r2'}


def test_waiting_work_of_less_urgent_tier_is_ignored():
    placement = make_placement()
    tags = TierLoad(tier=2, waiting=9, work_ms=3000)
    behind_tags = candidate('r1', load(running=4, free_in_ms=20, waiting=[tags]))
    reports = TierLoad(tier=0, waiting=2, work_ms=400)
    behind_reports = candidate('r2', load(running=4, free_in_ms=20, waiting=[reports]))
    assert chosen(placement, [behind_tags, behind_reports], NEED) == {'r1'}


def test_engine_without_gate_gets_at_most_the_share_of_one_entry():
    # Regression: a model replica at the address of a plain service has no agent.
    # Every entry considered it the idlest and sent it a third of all requests.
    placement = make_placement()
    ungated = candidate('r1', ungated_places=1)
    gated = [candidate(f'r{n}', load(running=4, free_in_ms=150)) for n in (2, 3)]
    sent = []
    for _ in range(6):
        replica = placement.choose([ungated, *gated], NEED, 10.0).record.replica
        placement.add_request(replica, NEED, 10.0)
        sent.append(replica)
    assert sent.count('r1') == 1


def test_engines_without_gates_share_the_work_if_there_are_no_others():
    placement = make_placement()
    candidates = [candidate(f'r{n}', ungated_places=1) for n in (1, 2, 3)]
    sent = []
    for _ in range(9):
        replica = placement.choose(candidates, NEED, 10.0).record.replica
        placement.add_request(replica, NEED, 10.0)
        sent.append(replica)
    assert {sent.count(name) for name in ('r1', 'r2', 'r3')} == {3}


def test_prompt_goes_where_it_is_cached_unless_the_wait_costs_more():
    placement = make_placement()
    need = Need(tier=1, prompt_tokens=3000, output_tokens=50, parts=PARTS)
    holder, other = candidate('r1', load()), candidate('r2', load())
    placement.memory.record_prompt('r1', PARTS, 10.0)
    assert chosen(placement, [holder, other], need) == {'r1'}
    busy_holder = candidate('r1', load(running=4, free_in_ms=900))
    assert chosen(placement, [busy_holder, other], need) == {'r2'}


def test_entries_agree_on_the_home_of_a_prompt():
    need = Need(tier=1, prompt_tokens=3000, output_tokens=50, parts=PARTS)
    candidates = [candidate(f'r{n}', load()) for n in range(1, 8)]
    entries = [make_placement() for _ in range(5)]
    for entry in entries:
        entry.memory.record_prompt('elsewhere', PARTS, 0.0)
    homes = [chosen(entry, candidates, need) for entry in entries]
    assert all(home == homes[0] and len(home) == 1 for home in homes)


def test_part_of_single_request_has_no_home():
    # Regression: half of every prompt was assumed to be cached at its home.
    need = Need(tier=1, prompt_tokens=3000, output_tokens=50, parts=PARTS)
    placement = make_placement()
    placement.memory.record_prompt('elsewhere', PARTS[:1], 0.0)
    candidates = [candidate(f'r{n}', load()) for n in range(1, 8)]
    assert len(chosen(placement, candidates, need)) > 3


def test_requests_sent_since_the_last_report_count():
    placement = make_placement()
    candidates = [candidate('r1', load()), candidate('r2', load())]
    for _ in range(4):
        placement.add_request('r1', NEED, 10.1)
    assert chosen(placement, candidates, NEED, now=10.1) == {'r2'}


def test_failures_add_cost_that_decays():
    placement = make_placement()
    candidates = [candidate('r1', load()), candidate('r2', load())]
    placement.health.failed('r1', 10.0)
    assert chosen(placement, candidates, NEED) == {'r2'}
    assert chosen(placement, candidates, NEED, now=40.0) == {'r1', 'r2'}


def test_unreachable_replica_is_avoided_while_there_are_others():
    placement = make_placement()
    placement.health.unreachable('r1', 10.0)
    down, busy = (
        candidate('r1', load()),
        candidate('r2', load(running=4, free_in_ms=5e3)),
    )
    assert chosen(placement, [down, busy], NEED, now=10.1) == {'r2'}
    assert chosen(placement, [down], NEED, now=10.1) == {'r1'}


def test_plain_service_prefers_least_used_replica_in_own_data_centre():
    placement = make_placement()
    near, far = candidate('r1'), candidate('r2', zone='b')
    need = Need(tier=1)
    assert chosen(placement, [near, far], need) == {'r1'}
    for _ in range(4):
        placement.add_request('r1', need, 10.0)
    assert chosen(placement, [near, far], need) == {'r2'}


def test_choice_without_candidates_is_none():
    assert make_placement().choose([], NEED, 0.0) is None


def candidate_awaiting_gate(name, last_load=None):
    return attrs.evolve(
        candidate(name, ungated_places=1), awaits_gate=True, last_load=last_load
    )


def test_engine_with_unknown_load_is_assumed_as_busy_as_the_others():
    # Regression: it was assumed to be idle, however busy all others were.
    placement = make_placement()
    busy = [candidate(f'r{n}', load(running=4, free_in_ms=900)) for n in (1, 2, 3)]
    less_busy = candidate('r4', load(running=4, free_in_ms=100))
    assert chosen(
        placement, [*busy, less_busy, candidate_awaiting_gate('r5')], NEED
    ) == {'r4'}
    assert {'r1', 'r5'} <= chosen(
        placement, [*busy, candidate_awaiting_gate('r5')], NEED
    )


def test_speed_of_engine_is_used_longer_than_its_load():
    placement = make_placement()
    fast = candidate_awaiting_gate('r1', load(prompt=30, output=1000).load)
    slow = candidate_awaiting_gate('r2', load(prompt=90, output=3000).load)
    assert chosen(placement, [fast, slow], NEED) == {'r1'}


def home_choice_share(entries, session_prefix, repeat_rate):
    """Return the share of new prompts that were placed at their home.

    An entry that knows of `entries` entries first records prompts of which
    the share `repeat_rate` belongs to three repeated sessions.
    """
    placement = Placement(zone='a', rng=random.Random(1), known_entries=lambda: entries)
    rng = random.Random(3)
    for number in range(400):
        is_repeat = rng.random() < repeat_rate
        part = f's{number % 3}' if is_repeat else f'once{number}'
        session = (PARTS[0], PromptPart(part_id=part, tokens=2940))
        placement.memory.record_prompt('r1', session, 10.0)
    candidates = [candidate(f'r{n}', load()) for n in range(2, 7)]
    names = [c.record.replica for c in candidates]
    at_home = 0
    for number in range(50):
        prompt = (
            PARTS[0],
            PromptPart(part_id=f'{session_prefix}{number}', tokens=2940),
        )
        need = Need(tier=1, prompt_tokens=3000, output_tokens=50, parts=prompt)
        home = placement.memory.home(names, prompt)
        at_home += placement.choose(candidates, need, 11.0).record.replica == home
    return at_home / 50


def test_many_entries_agree_on_home_of_session_that_each_rarely_sees():
    # Regression: an entry used the home of a session only if it had seen the
    # session itself, which nearly none of 70 entries had.
    assert home_choice_share(70, 'new', repeat_rate=0.03) > 0.9


def test_prompts_that_do_not_repeat_have_no_home():
    assert home_choice_share(70, 'new', repeat_rate=0.0) < 0.5
    assert home_choice_share(1, 'new', repeat_rate=0.03) < 0.5
