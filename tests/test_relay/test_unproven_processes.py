"""Returns of streams that began before the first report of their replica."""

from __future__ import annotations

import time

import gevent
import pytest

from pistachiopath.lifetimes.lifetime_doubts import MAX_REPORT_DELAY_S
from tests.test_exchange.sockets import MUTE, Paused, ScriptedTarget
from tools.free_address import free_address

from .control_node import Control
from .parts import chunk, events
from .version_entries import Entry, announced, half, rest

# Periods of events after the first ones, in which the process shows that it runs.
EVENTS = [part for n in range(3, 40) for part in (0.1, chunk(events(n, n)))]
SETTLED_WITHIN_S = MAX_REPORT_DELAY_S + 6.0


@pytest.fixture
def control():
    node = Control()
    yield node
    node.shell.stop()


def resume_until_settled(entry):
    """Come back until the stream goes on or too long has passed."""
    until = time.monotonic() + SETTLED_WITHIN_S
    while time.monotonic() < until:
        answer = entry.resume()
        if answer.startswith(b'HTTP/1.1 200'):
            return answer
        gevent.sleep(0.3)
    return answer


def begin_unreported(control, target):
    """Begin a stream at a replica that has started again and not reported yet."""
    known = announced('late', target, born=1000)
    control.shell.announce(known)
    first = Entry(free_address(), announces=False)
    first.hear(known, control=control.address)
    begun = first.open_stream('abc')
    with gevent.Timeout(4.5):
        assert b'id: 2' in begun.recv(65536)
    gevent.sleep(1.5)
    # The entry learns and tells nothing from here on.
    first._entry._timers.stop()
    first._entry._network.close(drain_s=0.1)
    return begun


def test_a_stream_that_an_unreported_process_began_is_refused_at_other_entries(
    control,
):
    target = ScriptedTarget([Paused(half(), *EVENTS), MUTE], *[[rest()]] * 12)
    begun = begin_unreported(control, target)
    reported = announced('late', target, 'v2', born=2000)
    reports = gevent.spawn(control.announce_for_ever, reported)
    second = Entry(free_address(), announces=False)
    second.hear(announced('late', target, born=1000), reported, control=control.address)
    try:
        assert resume_until_settled(second).startswith(b'HTTP/1.1 200')
    finally:
        reports.kill()
        begun.close()


def test_a_stream_of_an_unreported_process_goes_on_at_the_version_before(control):
    target = ScriptedTarget([Paused(half(), *EVENTS), MUTE], [MUTE])
    begun = begin_unreported(control, target)
    old = ScriptedTarget(*[[rest()]] * 20)
    sound = announced('old', old, born=1000)
    reports = gevent.spawn(control.announce_for_ever, sound)
    second = Entry(free_address(), announces=False)
    second.hear(
        announced('late', target, born=1000),
        sound,
        announced('other', target, 'v2', born=900),
        control=control.address,
    )
    try:
        # Reports of the lifetime before the restart never come again.
        assert second.resume().startswith(b'HTTP/1.1 503')
        assert old.requests == []
    finally:
        reports.kill()
        begun.close()
