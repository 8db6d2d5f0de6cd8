"""Returns while a replica may have started again and not have reported yet."""

from __future__ import annotations

import gevent
import gevent.event
import pytest

from pistachiopath.lifetimes.known_lifetimes import KnownLifetimes
from pistachiopath.lifetimes.lifetime_doubts import RESTART_MIN_S
from tests.test_exchange.sockets import MUTE, RESET, Paused, ScriptedTarget
from tools.free_address import free_address

from .control_node import Control
from .parts import chunk, events
from .version_entries import (
    LAST_CHUNK,
    Entry,
    announced,
    begin_stream,
    half,
    newer,
    part,
    read_to_end,
    rest,
    start_gate,
    start_silent_control,
)


@pytest.fixture
def control():
    node = Control()
    yield node
    node.shell.stop()


def test_a_return_is_deduced_though_a_replica_has_not_reported_since():
    late, sound = ScriptedTarget(), ScriptedTarget([rest()])
    entry = Entry(free_address(), announces=['sound'])
    entry.hear(
        announced('late', late),
        announced('sound', sound),
        control=start_silent_control(),
        directory_age_ms=60_000,
    )
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert sound.requests == []


def deduced_at(control, reporting, *silent):
    """Return the answer to a return at an entry without agents, and the entry."""
    entry = Entry(free_address(), announces=False)
    entry.hear(*reporting, *silent, control=control.address)
    for record in silent:
        control.shell.announce(record)
    reports = gevent.spawn(control.announce_for_ever, *reporting)
    try:
        return entry.resume()
    finally:
        reports.kill()


def test_a_return_goes_on_at_the_only_version_once_all_replicas_have_reported(control):
    first, second = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    records = announced('r1', first), announced('r2', second)
    assert deduced_at(control, records).startswith(b'HTTP/1.1 200')
    assert len(first.requests) + len(second.requests) == 1


def test_a_return_is_refused_as_control_nodes_are_not_asked_if_all_replicas_write(
    control, monkeypatch
):
    # They write to this entry all the time, so none lacks a report.
    monkeypatch.setattr(KnownLifetimes, 'has_reported', lambda *_: True)
    target = ScriptedTarget([rest()])
    answer = deduced_at(control, [announced('r1', target)])
    assert answer.startswith(b'HTTP/1.1 200')


def test_a_return_is_deduced_though_one_of_several_replicas_is_late(control):
    first, second = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    reporting, late = [announced('r1', first)], announced('r2', second)
    assert deduced_at(control, reporting, late).startswith(b'HTTP/1.1 503')
    assert first.requests == second.requests == []


def test_a_return_is_deduced_though_a_replica_has_just_started_again(control):
    # Another process may have run between the two lifetimes.
    target = ScriptedTarget([rest()])
    control.shell.announce(announced('r1', target, born=500))
    answer = deduced_at(control, [announced('r1', target, born=1000)])
    assert answer.startswith(b'HTTP/1.1 503')
    assert target.requests == []


def test_a_return_goes_on_at_what_a_lost_entry_named_to_the_gate():
    gate_address = start_gate()
    late, sound = ScriptedTarget([half(), MUTE]), ScriptedTarget([rest()])
    records = announced('late', late), announced('sound', sound)
    begun = begin_stream(Entry(gate_address, announces=False), late, name='late')
    entry = Entry(gate_address, announces=['sound'])
    entry.hear(*records, *newer(ScriptedTarget([rest()])))
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert sound.requests == []
    begun.close()


def test_a_whole_answer_makes_the_gate_certain_of_what_nobody_proved():
    gate_address = start_gate()
    whole = [half() + chunk(events(3, 5)) + LAST_CHUNK]
    late, sound = ScriptedTarget(whole), ScriptedTarget([rest()])
    records = announced('late', late), announced('sound', sound)
    first = Entry(gate_address, announces=False)
    first.hear(announced('late', late))
    assert b'id: 5' in read_to_end(first.open_stream('abc'))
    entry = Entry(gate_address, announces=['sound'])
    entry.hear(*records, *newer(ScriptedTarget([rest()])))
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert sound.requests == []


def test_a_stream_of_a_replica_that_reports_late_is_refused_for_good():
    # It began before the report of the next lifetime, of the same version, was known.
    reported = gevent.event.Event()
    more = Paused(half(), reported, 0.4, chunk(events(3, 3)), 0.3)
    target = ScriptedTarget([more, RESET])
    other = ScriptedTarget([part('second', 4, 5) + LAST_CHUNK])
    entry = Entry(free_address(), announces=['late', 'other'])
    entry.hear(announced('late', target, born=500))
    sock = entry.open_stream('abc')
    with gevent.Timeout(4.5):
        assert b'id: 2' in sock.recv(65536)
    entry.hear(announced('late', target, born=1000))
    reported.set()
    with gevent.Timeout(4.5):
        while sock.recv(65536):
            pass
    entry.hear(announced('late', target, born=1000), announced('other', other))
    assert entry.resume(last_event=3).startswith(b'HTTP/1.1 200')


def test_a_stream_goes_on_at_another_version_as_a_report_of_the_one_before_is_late():
    # The replica starts again, and reports of its former lifetime still arrive.
    before = ScriptedTarget([Paused(half(), 0.3), RESET])
    entry = Entry(free_address())
    begun = begin_stream(entry, before)
    read_to_end(begun)
    gevent.sleep(RESTART_MIN_S)
    after = ScriptedTarget([rest()], succeeds=before)
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert after.requests == []


def test_a_stream_of_a_replica_that_only_reset_its_connections_is_refused():
    target = ScriptedTarget([Paused(half(), 0.3), RESET], [rest()], [rest()])
    entry = Entry(free_address())
    begun = begin_stream(entry, target)
    read_to_end(begun)
    gevent.sleep(RESTART_MIN_S)
    assert entry.resume().startswith(b'HTTP/1.1 200')


def test_a_stream_that_an_unreported_lifetime_began_is_refused_after_its_report():
    # Its replica is the very process that began it, and its gate outlived the entry.
    gate_address = start_gate()
    late = ScriptedTarget([half(), MUTE], [rest()])
    begun = begin_stream(Entry(gate_address, announces=False), late, name='late')
    entry = Entry(gate_address)
    entry.hear(
        announced('late', late, born=1000),
        announced('late', late, 'v2', born=2000),
    )
    assert entry.resume().startswith(b'HTTP/1.1 200')
    begun.close()
