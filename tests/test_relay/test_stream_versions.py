"""Streams of a service whose replicas run two software versions."""

from __future__ import annotations

import attrs
import gevent
import pytest

from pistachiopath.lifetimes.lifetime_doubts import RESTART_MIN_S
from pistachiopath.relay import exchange_run
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, ScriptedTarget
from tools.free_address import free_address

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
    """Address of a control node that is alive."""
    return start_silent_control()


@pytest.fixture
def gate_address():
    return start_gate()


def test_a_broken_stream_goes_on_at_another_version_within_one_answer(gate_address):
    scripts = [half(), RESET], [rest('abc')]
    old, new = ScriptedTarget(*scripts), ScriptedTarget(*scripts)
    entry = Entry(gate_address)
    entry.hear(announced('old', old), announced('new', new, 'v2'))
    read_to_end(entry.open_stream('abc'))
    assert not (old.requests and new.requests)


def test_returns_go_on_at_another_version_after_all_entries_lost_power(gate_address):
    ids = 'abcd'
    old = ScriptedTarget(*([half(i), MUTE] for i in ids), *([rest(i * 2)] for i in ids))
    new = ScriptedTarget(*([rest(i * 2)] for i in ids))
    begun = Entry(gate_address)
    open_streams = [begin_stream(begun, old, i) for i in ids]
    entry = Entry(gate_address)
    entry.hear(announced('old', old), *newer(new))
    answers = [entry.resume(i * 2, resumes=i) for i in ids]
    assert new.requests == []
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    for sock in open_streams:
        sock.close()


def test_a_return_goes_on_at_another_version_when_the_old_one_has_just_left(
    gate_address,
):
    old = ScriptedTarget([half(), MUTE])
    new = ScriptedTarget([rest()])
    sock = begin_stream(Entry(gate_address), old)
    entry = Entry(gate_address)
    entry.hear(
        announced('old', old, state='draining'),
        announced('new', new, 'v2'),
    )
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert new.requests == []
    sock.close()


def test_a_chain_of_returns_goes_on_at_the_version_of_the_first_event(gate_address):
    old = ScriptedTarget(
        [half(), MUTE],
        [part('second', 3, 4), MUTE],
        [part('third', 5, 6) + LAST_CHUNK],
    )
    new = ScriptedTarget([rest('second')], [part('third', 5, 6) + LAST_CHUNK])
    records = announced('old', old), *newer(new)
    sock = begin_stream(Entry(gate_address), old)
    for request_id, last_event in (('second', 2), ('third', 4)):
        entry = Entry(gate_address)
        entry.hear(*records)
        answer = entry.resume(request_id, last_event=last_event)
        assert answer.startswith(b'HTTP/1.1 200')
    assert b'last-event-id: 4' in old.requests[-1][0]
    assert new.requests == []
    sock.close()


def test_a_return_to_the_same_entry_needs_no_gate():
    old, new = ScriptedTarget([half(), MUTE], [rest()]), ScriptedTarget([rest()])
    entry = Entry(free_address())
    sock = begin_stream(entry, old)
    entry.hear(announced('old', old), *newer(new))
    assert entry.resume().startswith(b'HTTP/1.1 200')
    assert new.requests == []
    sock.close()


def test_a_stream_of_a_replica_that_has_not_reported_since_goes_on_elsewhere():
    # It may have started again, with other software, just before the stream began.
    scripts = [half(), RESET], [rest('abc')]
    targets = ScriptedTarget(*scripts), ScriptedTarget(*scripts)
    entry = Entry(free_address(), announces=False)
    entry.hear(announced('r1', targets[0]), announced('r2', targets[1]))
    assert b'id: 5' not in read_to_end(entry.open_stream('abc'))
    assert entry.resume('again', resumes='abc').startswith(b'HTTP/1.1 503')
    assert not (targets[0].requests and targets[1].requests)


def test_a_stream_of_a_silent_replica_that_has_not_reported_since_moves_elsewhere():
    script = [half(), MUTE]
    targets = (
        ScriptedTarget(script, [rest('abc')]),
        ScriptedTarget(script, [rest('abc')]),
    )
    entry = Entry(free_address(), announces=False)
    entry.hear(announced('r1', targets[0]), announced('r2', targets[1]))
    sock = entry.open_stream('abc')
    gevent.sleep(exchange_run.STALL_MIN_S + 1.0)
    assert not (targets[0].requests and targets[1].requests)
    sock.close()


def test_without_agents_a_stream_goes_on_at_a_replica_that_reports():
    scripts = [half(), RESET], [rest('abc')]
    targets = ScriptedTarget(*scripts), ScriptedTarget(*scripts)
    entry = Entry(free_address())
    entry.hear(announced('r1', targets[0]), announced('r2', targets[1]))
    assert b'id: 5' in read_to_end(entry.open_stream('abc'))


def test_a_return_that_nobody_knows_is_refused_while_two_versions_serve(gate_address):
    targets = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    entry = Entry(gate_address)
    entry.hear(announced('old', targets[0]), announced('new', targets[1], 'v2'))
    answer = entry.resume()
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in answer
    assert [target.requests for target in targets] == [[], []]


@pytest.mark.parametrize(
    ('other', 'directory_age_ms'),
    [({'version': 'v2'}, 60_000), ({'version': ''}, 60_000), ({}, 1_000)],
    ids=['another version', 'an unknown version', 'a young directory'],
)
def test_without_agents_a_return_is_refused_if_another_version_may_have_begun_it(
    control, other, directory_age_ms
):
    targets = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    entry = Entry(free_address())
    gone = announced('gone', targets[1], **other)
    entry.hear(
        announced('old', targets[0]),
        attrs.evolve(gone, state='gone'),
        control=control,
        directory_age_ms=directory_age_ms,
    )
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert [target.requests for target in targets] == [[], []]


def test_a_return_waits_until_an_entry_that_starts_knows_the_gates(gate_address):
    old, new = ScriptedTarget([half(), MUTE], [rest()]), ScriptedTarget([rest()])
    sock = begin_stream(Entry(gate_address), old)
    entry = Entry(gate_address)
    entry.hear()
    gevent.spawn_later(0.2, entry.hear, announced('old', old), *newer(new))
    assert entry.resume().startswith(b'HTTP/1.1 200')
    assert new.requests == []
    sock.close()


def test_a_replica_that_restarts_with_another_version_takes_no_stream_of_before(
    gate_address,
):
    first = ScriptedTarget([half(), MUTE], [rest()])
    entry = Entry(gate_address)
    sock = begin_stream(entry, first)
    entry.hear(announced('old', first, 'v2', born=2000))
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert len(first.requests) == 1
    sock.close()


def test_replicas_whose_version_is_not_known_do_not_continue_each_others_streams(
    gate_address,
):
    scripts = [half(), RESET], [rest('abc')]
    targets = ScriptedTarget(*scripts), ScriptedTarget(*scripts)
    entry = Entry(gate_address)
    entry.hear(announced('r1', targets[0], ''), announced('r2', targets[1], ''))
    read_to_end(entry.open_stream('abc'))
    assert not (targets[0].requests and targets[1].requests)


def test_a_stream_goes_on_at_another_replica_of_its_version(gate_address):
    scripts = [half(), RESET], [rest('abc')]
    targets = ScriptedTarget(*scripts), ScriptedTarget(*scripts)
    entry = Entry(gate_address)
    entry.hear(announced('r1', targets[0]), announced('r2', targets[1]))
    answer = read_to_end(entry.open_stream('abc'))
    assert b'id: 5' in answer
    assert targets[0].requests
    assert targets[1].requests


def test_a_stream_leaves_a_silent_replica_only_for_one_of_its_version(gate_address):
    old, new = ScriptedTarget([half(), MUTE]), ScriptedTarget([rest('abc')])
    entry = Entry(gate_address)
    sock = begin_stream(entry, old)
    entry.hear(announced('old', old), *newer(new))
    gevent.sleep(exchange_run.STALL_MIN_S + 0.5)
    assert new.requests == []
    same = ScriptedTarget([rest('abc')])
    entry.hear(announced('same', same))
    assert b'id: 5' in read_to_end(sock)


def test_a_stream_goes_on_at_the_only_replica_of_its_version_after_a_reset(
    gate_address,
):
    # The entry's check for a crash opens the second connection.
    old, new = ScriptedTarget([half(), RESET], [rest('abc')]), ScriptedTarget([])
    gone = attrs.evolve(announced('new', new, 'v2'), state='gone')
    entry = Entry(gate_address)
    entry.hear(announced('old', old), gone)
    assert b'id: 5' in read_to_end(entry.open_stream('abc'))


def kept(request_id, timeout_s):
    """Return a whole answer on a connection that is kept for that long."""
    answer = part(request_id, 0, 2) + LAST_CHUNK
    keep = f'Keep-Alive: timeout={timeout_s}\r\n'.encode()
    return answer.replace(b'Connection: close\r\n', keep)


def test_a_stream_goes_on_at_a_replica_that_closed_an_idle_connection_early(
    gate_address,
):
    old = ScriptedTarget([half(), MUTE], [kept('whole', 9), CLOSE], [rest()])
    new = ScriptedTarget([])
    entry = Entry(gate_address)
    sock = begin_stream(entry, old)
    read_to_end(entry.open_stream('whole'))
    entry.hear(announced('old', old), *newer(new))
    gevent.sleep(RESTART_MIN_S + 0.1)
    assert entry.resume().startswith(b'HTTP/1.1 503')
    assert len(old.requests) == 2
    sock.close()


def test_a_replica_that_closes_idle_connections_at_its_time_takes_no_streams(
    gate_address,
):
    old = ScriptedTarget([half(), MUTE], [kept('whole', 1), CLOSE], [rest()])
    new = ScriptedTarget([])
    entry = Entry(gate_address)
    sock = begin_stream(entry, old)
    read_to_end(entry.open_stream('whole'))
    entry.hear(announced('old', old), *newer(new))
    gevent.sleep(RESTART_MIN_S + 0.1)
    assert entry.resume().startswith(b'HTTP/1.1 200')
    sock.close()
