"""What all answers together hold, and that none waits for ever."""

from __future__ import annotations

import random

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiopath.exchange.answer_memory import FREE_BYTES, AnswerMemory

MAX_BYTES = 1_000_000
ANSWER_BYTES = 600_000


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 12))
def test_answers_hold_a_bounded_amount_and_all_end(seed, count):
    # A replica's answers without end took an entry's memory, with all its callers.
    rng = random.Random(seed)
    memory = AnswerMemory(max_bytes=MAX_BYTES)
    seen = []

    def read(size, step):
        with memory.hold() as held:
            for end in range(step, size + step, step):
                held.resize(min(size, end))
                seen.append(memory.held_bytes)
                gevent.sleep(0)
            if rng.random() < 0.5:
                held.resize(0)
                held.resize(size)

    greenlets = [
        gevent.spawn(
            read, rng.randrange(1, ANSWER_BYTES), rng.randrange(10_000, 90_000)
        )
        for _ in range(count)
    ]
    gevent.joinall(greenlets, timeout=10.0, raise_error=True)
    assert all(greenlet.successful() for greenlet in greenlets)
    assert max(seen, default=0) <= MAX_BYTES + ANSWER_BYTES
    assert memory.held_bytes == 0


def test_an_answer_that_ends_while_it_waits_leaves_nothing():
    memory = AnswerMemory(max_bytes=FREE_BYTES)

    def read():
        with memory.hold() as held:
            held.resize(FREE_BYTES * 3)
            gevent.sleep(10)

    first, second = gevent.spawn(read), gevent.spawn(read)
    gevent.sleep(0.01)
    assert memory.held_bytes == FREE_BYTES * 2
    second.kill()
    first.kill()
    assert memory.held_bytes == 0
