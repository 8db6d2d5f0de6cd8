"""Callers that use the id of a request that still runs."""

from __future__ import annotations

import gevent

from tests.test_directory.records import record
from tests.test_exchange.sockets import Paused, ScriptedTarget

from .parts import answer
from .test_entry import Node
from .test_planned_stop import Caller, document, post

RUN_S = 0.8


def test_a_request_with_the_id_of_one_that_runs_waits_for_a_place_of_its_own():
    node = Node()
    target = ScriptedTarget([Paused(RUN_S, answer())], [answer()], [answer()])
    node.receive_news(document(), [record(address=target.address, slots=1)])
    first = Caller(node, post(b'/engine/x'))
    gevent.sleep(0.3)
    second = Caller(node, post(b'/engine/x'))
    gevent.sleep(0.3)
    assert len(target.requests) == 1
    third = Caller(node, post(b'/engine/x'))
    gevent.sleep(RUN_S)
    assert [c.statuses for c in (first, second, third)] == [[200], [200], [200]]
    assert len(target.requests) == 3
