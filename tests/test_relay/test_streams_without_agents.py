"""Streams of two software versions, at replicas without an agent beside them."""

from __future__ import annotations

import pytest

from tests.harness.waiting import wait_until
from tests.test_exchange.sockets import MUTE, ScriptedTarget
from tools.free_address import free_address

from .control_node import Control
from .version_entries import Entry, announced, begin_stream, half, newer, rest


@pytest.fixture
def controls():
    nodes = [Control(), Control()]
    yield nodes
    for node in nodes:
        node.shell.stop()


def new_entry(controls, *records):
    """Return an entry without agents that follows control nodes."""
    entry = Entry(free_address())
    for control in controls:
        entry.hear(*records, control=control.address)
    return entry


def test_returns_at_other_entries_are_refused_while_two_versions_serve(controls):
    ids = 'abcd'
    old = ScriptedTarget(*([half(i), MUTE] for i in ids), *([rest(i * 2)] for i in ids))
    new = ScriptedTarget(*([rest(i * 2)] for i in ids))
    first = new_entry(controls)
    open_streams = [begin_stream(first, old, i) for i in ids]
    first.hear(announced('old', old), *newer(new))
    wait_until(lambda: sum(control.noted for control in controls) == len(ids))
    other = new_entry(controls, announced('old', old), *newer(new))
    answers = [other.resume(i * 2, resumes=i) for i in ids]
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert new.requests == []
    for sock in open_streams:
        sock.close()


def test_a_return_is_refused_after_the_loss_of_the_control_node_that_knew(controls):
    old = ScriptedTarget([half(), MUTE], [rest()])
    new = ScriptedTarget([rest()])
    first = new_entry(controls)
    sock = begin_stream(first, old)
    first.hear(announced('old', old), *newer(new))
    wait_until(lambda: sum(control.noted for control in controls) == 1)
    left, lost = sorted(controls, key=lambda control: control.noted)
    lost.shell.stop()
    wait_until(lambda: left.noted == 1)
    other = new_entry([left], announced('old', old), *newer(new))
    assert other.resume().startswith(b'HTTP/1.1 200')
    assert new.requests == []
    sock.close()


def test_a_stream_that_nobody_noted_is_refused(controls):
    targets = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    entry = new_entry(
        controls, announced('old', targets[0]), announced('new', targets[1], 'v2')
    )
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert [target.requests for target in targets] == [[], []]
