"""Compares routing components with naive models that recompute everything."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.claims.submission import Submission
from pistachiopath.messages.dispatch import Work
from pistachiopath.messages.membership import (
    Heartbeat,
    Load,
    Rate,
)
from pistachiopath.routing.chooser import Choice
from pistachiopath.routing.earliest_finish import (
    NEAR_COST_RATIO,
    NEAR_COST_S,
    URGENCY_FACTOR,
    EarliestFinish,
)
from pistachiopath.routing.outstanding import Outstanding
from pistachiopath.routing.prefix import CHUNK_TOKENS
from pistachiopath.routing.prefix_index import PrefixIndex
from pistachiopath.routing.targets import LEASE_S, TargetTable

TARGETS = ('t0', 't1', 't2', 't3')


def submission(number=0, *, promised=True, prompt=100, output=20, deadline=60.0):
    key = number.to_bytes(4, 'big')
    return Submission(
        key=key,
        fingerprint=key,
        attempt=key,
        named=True,
        work=Work(
            path='/',
            model='m',
            promised=promised,
            prompt_tokens=prompt,
            output_tokens=output,
        ),
        submitted_at=0.0,
        deadline=deadline,
    )


def report(target, sequence, *, models=('m',), departing=False, load=None, rates=()):
    return Heartbeat(
        target=target,
        incarnation=1,
        sequence=sequence,
        address=target,
        zone='dc0',
        models=models,
        services=(),
        departing=departing,
        revision=1,
        load=load or Load(window=4),
        rates=rates,
    )


OUTSTANDING_STEPS = st.lists(
    st.tuples(
        st.integers(0, 15),
        st.sampled_from(TARGETS),
        st.booleans(),
        st.booleans(),
        st.integers(1, 500),
    ),
    max_size=40,
)


@given(OUTSTANDING_STEPS, st.integers(0, 40), st.booleans())
def test_outstanding_tokens_match_naive_model(steps, since, promised):
    outstanding = Outstanding()
    naive = {}
    for now, (number, target, removes, is_promised, tokens) in enumerate(steps):
        sub = submission(number, promised=is_promised, prompt=tokens, output=tokens)
        naive.pop(number, None)
        if removes:
            outstanding.remove(sub)
        else:
            outstanding.add(sub, target, float(now))
            naive[number] = (target, now, is_promised, tokens)
    for target in TARGETS:
        tokens = sum(
            tokens
            for sent_to, sent_at, is_promised, tokens in naive.values()
            if sent_to == target and sent_at > since and (is_promised or not promised)
        )
        found = outstanding.since(target, float(since), promised=promised)
        assert found == (tokens, tokens)


SENT_PROMPTS = st.lists(
    st.tuples(st.sampled_from(TARGETS), st.integers(0, 5), st.integers(1, 6)),
    max_size=40,
)


def chunks_of(document, length):
    return tuple(document * 100 + n for n in range(length))


@given(SENT_PROMPTS, st.integers(3, 12))
def test_prefix_index_matches_naive_lru_list(prompts, capacity):
    index = PrefixIndex()
    naive = {target: [] for target in TARGETS}
    for target, document, length in prompts:
        chunks = chunks_of(document, length)
        index.record_prompt(target, chunks, capacity)
        held = [c for c in naive[target] if c not in chunks] + list(chunks)
        naive[target] = held[-capacity:]
    for target in TARGETS:
        for document in range(6):
            chunks = chunks_of(document, 6)
            missing = [n for n, c in enumerate(chunks) if c not in naive[target]]
            held = missing[0] if missing else len(chunks)
            assert index.cached_tokens(target, chunks) == held * CHUNK_TOKENS


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(TARGETS),
        st.integers(1, 20),
        st.floats(0.0, 3.0),
        st.sampled_from([('m',), ('other',), ('m', 'other')]),
        st.booleans(),
        st.floats(0.0, 1.5),
    ),
    max_size=30,
)


@given(REPORTS)
def test_candidates_match_naive_scan_of_all_reports(steps):
    table = TargetTable()
    newest = {}
    now = 0.0
    for target, sequence, age, models, departing, elapsed_s in steps:
        now += elapsed_s
        heartbeat = report(target, sequence, models=models, departing=departing)
        heartbeat_at = now - age
        table.update([(heartbeat, heartbeat_at)], now)
        # An older report, from another control replica, replaces nothing.
        if target not in newest or newest[target][1] < heartbeat_at:
            newest[target] = (heartbeat, heartbeat_at)
        newest = {t: k for t, k in newest.items() if now - k[1] < LEASE_S}
        expected = {
            t
            for t, (kept, at) in newest.items()
            if 'm' in kept.models and not kept.departing and now - at < LEASE_S
        }
        found = {k.report.target for k in table.candidates('m', now, random.Random(1))}
        assert found == expected


TARGET_LOADS = st.lists(
    st.tuples(
        st.integers(0, 4000),
        st.integers(0, 2000),
        st.integers(100, 20_000),
        st.integers(10, 200),
    ),
    min_size=1,
    max_size=4,
)


@pytest.mark.parametrize('seed', [1, 2])
@given(TARGET_LOADS, st.integers(1, 4000), st.integers(1, 900), st.floats(1.0, 200.0))
def test_choice_is_near_lowest_cost_of_naive_model(
    seed, loads, prompt, output, remaining_s
):
    table = TargetTable()
    finish_s, rates = {}, {}
    reports = []
    for number, (ahead_prompt, ahead_output, prefill, decode) in enumerate(loads):
        name = TARGETS[number]
        load = Load(
            window=4,
            running=4,
            promised_prompt_tokens=ahead_prompt,
            promised_output_tokens=ahead_output,
        )
        rate = Rate(model='m', prefill=float(prefill), decode=float(decode))
        reports.append((report(name, 1, load=load, rates=(rate,)), 0.0))
        wait_s = ahead_prompt / prefill + ahead_output / (decode * 4)
        finish_s[name] = wait_s + prompt / prefill + output / decode
        rates[name] = prefill
    table.update(reports, 0.0)
    chooser = EarliestFinish(targets=table, rng=random.Random(seed))
    sub = submission(prompt=prompt, output=output, deadline=remaining_s)
    choice = chooser.choose(sub, frozenset(), 0.0)
    if min(finish_s.values()) > remaining_s:
        assert choice.reason in ('overload', 'deadline')
        assert choice.retry_after_ms > (min(finish_s.values()) - remaining_s) * 1000
        return
    assert isinstance(choice, Choice)
    costs = {
        t: min(1.0, URGENCY_FACTOR * s / remaining_s) * s for t, s in finish_s.items()
    }
    assert (
        costs[choice.target]
        <= min(costs.values()) * NEAR_COST_RATIO + NEAR_COST_S + 1e-9
    )


def test_free_slot_has_room_for_promised_work_whatever_is_ahead():
    # Regression, schedule 105367: promised work was refused although a slot was
    # free, beside a tagging request that had started after the last report.
    table = TargetTable()
    load = Load(window=2, running=1, promised_output_tokens=10_000)
    rate = Rate(model='m', prefill=100.0, decode=100.0)
    table.update([(report('t', 1, load=load, rates=(rate,)), 0.0)], 0.0)
    chooser = EarliestFinish(targets=table, rng=random.Random(1))
    assert isinstance(
        chooser.choose(submission(deadline=5.0), frozenset(), 0.0), Choice
    )
