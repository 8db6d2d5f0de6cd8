"""Callers that use the id of a request that still runs."""

from __future__ import annotations

from tests.harness.waiting import let_pass, wait_until
from tests.test_directory.records import record
from tests.test_exchange.sockets import Held, ScriptedTarget

from .parts import answer
from .test_entry import Node
from .test_planned_stop import Caller, document, post


def test_a_request_with_the_id_of_one_that_runs_waits_for_a_place_of_its_own():
    node = Node()
    held = Held(answer())
    target = ScriptedTarget([held], [answer()], [answer()])
    node.receive_news(document(), [record(address=target.address, slots=1)])
    first = Caller(node, post(b'/engine/x'))
    wait_until(lambda: target.requests)
    second = Caller(node, post(b'/engine/x'))
    let_pass(0.3)
    assert len(target.requests) == 1
    third = Caller(node, post(b'/engine/x'))
    let_pass(0.1)
    held.release()
    wait_until(lambda: all(c.statuses for c in (first, second, third)))
    assert [c.statuses for c in (first, second, third)] == [[200], [200], [200]]
    assert len(target.requests) == 3
