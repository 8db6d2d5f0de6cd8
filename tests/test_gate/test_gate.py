from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.effects import Send
from pistachiopath.gate.effects import StartRun, StopRun
from pistachiopath.gate.fairness import FairTags
from pistachiopath.gate.gate import Gate
from pistachiopath.gate.limits import GateLimits
from pistachiopath.messages.claims import OutcomeRecord
from pistachiopath.messages.dispatch import (
    Attach,
    Cancel,
    Dispatch,
    NotHeld,
    NotStarted,
    Work,
)

DONE = OutcomeRecord(kind='completed', status=200)


def make_gate(**limits):
    gate = Gate(limits=GateLimits(**{'window': 1} | limits))
    gate.start_incarnation(1, 0.0)
    gate.lease_until = 1e9
    return gate


def dispatch(key, tier=0, deadline_ms=10_000, customer='c', tokens=10):
    work = Work(
        path='/',
        tier=tier,
        promised=tier < 2,
        customer=customer,
        output_tokens=tokens,
    )
    return Dispatch(
        key=key, binding=1, incarnation=1, deadline_ms=deadline_ms, work=work
    )


def started(effects):
    return [e.run.key for e in effects if isinstance(e, StartRun)]


def sent(effects, kind):
    return [e.body for e in effects if isinstance(e, Send) and isinstance(e.body, kind)]


def test_a_run_cancelled_in_the_queue_never_started():
    gate = make_gate()
    gate.dispatch('e', dispatch(b'a'), 0.0)
    gate.dispatch('e', dispatch(b'b'), 0.0)
    gate.cancel('e', Cancel(key=b'b', binding=1), 0.1)
    attach = Attach(key=b'b', binding=1, incarnation=1, offset=0, recent=True)
    assert sent(gate.attach('f', attach, 0.2), NotStarted)[0].reason == 'cancelled'


def test_an_answer_past_its_retention_is_reported_as_not_held():
    gate = make_gate(answer_retention_s=1.0, retention_s=10.0)
    run = gate.dispatch('e', dispatch(b'a'), 0.0)[1].run
    gate.engine_data(run, 200, 'text', b'answer', 0.1)
    gate.engine_end(run, DONE, 0.2)
    attach = Attach(key=b'a', binding=1, incarnation=1, offset=0, recent=False)
    assert gate.attach('f', attach, 0.5)[0].body.data == b'answer'
    gate.tick(2.0)
    assert gate.attach('f', attach, 2.0)[0].body.outcome.reason == 'answer_not_held'
    gate.tick(20.0)
    assert sent(gate.attach('f', attach, 20.0), NotHeld)


def test_promised_work_pauses_a_resumable_run():
    gate = make_gate()
    run = gate.dispatch('e', dispatch(b'tag', tier=2), 0.0)[1].run
    assert started(gate.dispatch('e', dispatch(b'n1'), 0.1)) == []
    run.resumable = True
    effects = gate.dispatch('e', dispatch(b'n2'), 0.2)
    assert [e.run.key for e in effects if isinstance(e, StopRun)] == [b'tag']
    assert started(effects) == [b'n1']


class NaiveQueue:
    """Sorts all waiting runs for each pick."""

    def __init__(self):
        self.waiting = []

    def pick(self):
        self.waiting.sort(key=lambda run: run.priority)
        return self.waiting.pop(0)


REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 3), st.integers(1, 50), st.sampled_from('abc'), st.booleans()
    ),
    min_size=1,
    max_size=30,
)


@given(REQUESTS)
def test_runs_start_in_the_order_of_a_naive_queue(requests):
    gate, naive = make_gate(), NaiveQueue()
    running = []
    for number, (tier, deadline, customer, ends) in enumerate(requests):
        key = number.to_bytes(2, 'big')
        msg = dispatch(
            key, tier=tier, deadline_ms=100_000 * deadline, customer=customer
        )
        effects = gate.dispatch('e', msg, 0.0)
        naive.waiting.append(gate.run(key))
        check_starts(effects, naive, running)
        if ends and running:
            check_starts(gate.engine_end(running.pop(), DONE, 0.0), naive, running)


def check_starts(effects, naive, running):
    for effect in effects:
        if isinstance(effect, StartRun):
            assert effect.run is naive.pick()
            running.append(effect.run)


def test_a_customer_with_many_requests_does_not_starve_others():
    tags = FairTags()
    flood = [tags.tag(0, 'large', 10) for _ in range(100)]
    assert tags.tag(0, 'small', 10) == 0.0
    tags.started(0, flood[50])
    late = tags.tag(0, 'small', 10)
    assert flood[50] <= late < flood[60]
