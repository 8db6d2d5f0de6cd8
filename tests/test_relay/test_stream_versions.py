"""Streams of a service whose replicas run two software versions."""

from __future__ import annotations

import json
import random
import time

import attrs
import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.errors.relay import TurnedAway
from pistachiopath.grants.shell import GateShell
from pistachiopath.messages.directory import News
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.platform.registration import decode_announcement
from pistachiopath.relay import exchange_run
from pistachiopath.relay.entry import RelayEntry
from pistachiopath.relay.lifetime_doubts import RESTART_MIN_S
from pistachiopath.relay.settings import LINK_SECRET, RelaySettings
from pistachiopath.relay.stream_versions import StreamVersions
from pistachiopath.streams.origin import Origin
from pistachiopath.streams.service_version import ServiceVersion
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.telemetry.spans import NoSpans
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tests.test_directory.records import record
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, ScriptedTarget
from tools.free_address import free_address

from .parts import chunk, events
from .streams import NoNotes, stream_work

DOCUMENT = {
    'version': 1,
    'routes': [
        {
            'name': 'stream',
            'hostname': 'a.example',
            'path_prefix': '/gen/',
            'route_type': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 500,
            'priority': 0,
            'backend': 'model',
            'attempts': 3,
            'public': True,
            'stream_resume': True,
        }
    ],
    'backends': [{'name': 'model', 'engine': {'slots': 8, 'kv_capacity': 1000}}],
    'limits': {},
    'tenants': [],
}
LAST_CHUNK = b'0\r\n\r\n'
CONTROL = '127.0.0.1:9'


def part(request_id, first, last):
    """Return the head of an answer and some events."""
    head = (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Signature: s\r\n'
        'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    return head.encode() + chunk(events(first, last))


def half(request_id='abc'):
    """Return the first half of a stream."""
    return part(request_id, 0, 2)


def rest(request_id='second'):
    """Return the second half of a stream."""
    return part(request_id, 3, 5) + LAST_CHUNK


def announced(replica, target, version='v1', **changes):
    """Return the record of an announcement."""
    content = {
        'backend': 'model',
        'address': target.address,
        'zone': 'a',
        'version': version,
        'slots': 8,
        'state': 'ready',
        'sequence': 1,
        'born': 1000,
    }
    return decode_announcement(replica, json.dumps(content | changes).encode())


def newer(target):
    """Return announcements of many replicas of another version at one address."""
    return [announced(f'new{number}', target, 'v2') for number in range(8)]


class Entry:
    """An entry that begins with empty memory."""

    def __init__(self, gate_address):
        self.callers = free_address()
        self._entry = RelayEntry(
            cfg=RelaySettings(
                name='e',
                zone='a',
                callers_address=self.callers,
                readiness_address=free_address(),
                node_address=free_address(),
                seeds=(),
                agent_port=int(gate_address.rpartition(':')[2]),
                retry_budget=RetryBudgetLimits(ratio=1.0, slack=60, window_s=10),
                grace_s=2.0,
            ),
            dialect=PlatformDialect(),
            decode=decode_configuration,
            metrics=Metrics(),
            spans=NoSpans(),
            rng=random.Random(1),
        )
        self._entry.start()

    def hear(self, *records, control=CONTROL, directory_age_ms=0):
        """Receive the records from a control node."""
        news = News(
            feed=1,
            change=len(records),
            version=1,
            content=json.dumps(DOCUMENT).encode(),
            records=records,
            controls=(),
            entries=1,
            silent=(),
            directory_age_ms=directory_age_ms,
        )
        self._entry._on_message(control, 0, news)

    def open_stream(self, request_id, *, last_event=None, resumes=''):
        """Send a request; return the connection."""
        lines = ['GET /gen/x HTTP/1.1', 'Host: a.example', f'Request-Id: {request_id}']
        lines += ['Deadline-Ms: 4000']
        if last_event is not None:
            lines += [f'Last-Event-Id: {last_event}', f'Resumes: {resumes}']
        host, _, port = self.callers.partition(':')
        sock = gsocket.create_connection((host, int(port)))
        sock.sendall('\r\n'.join([*lines, '', '']).encode())
        return sock

    def resume(self, request_id='second', *, last_event=2, resumes='abc'):
        """Come back for a stream; return the first bytes of the answer."""
        sock = self.open_stream(request_id, last_event=last_event, resumes=resumes)
        with gevent.Timeout(4.5):
            return sock.recv(65536)


@pytest.fixture
def control():
    """Address of a control node that is alive."""
    address = free_address()
    identity = Identity(name=address, role=ROLE_NODE, secrets={ROLE_NODE: LINK_SECRET})
    network = Network(
        identity=identity,
        on_message=lambda *_: None,
        on_lost=lambda _: None,
        failures=LoopFailures(metrics=Metrics()),
    )
    network.listen(address)
    return address


def start_gate():
    """Start the agent beside the replicas, which outlives the entries."""
    address = free_address()
    GateShell(address=address, secret=LINK_SECRET, metrics=Metrics()).start()
    return address


@pytest.fixture
def gate_address():
    return start_gate()


def read_to_end(sock):
    """Read an answer until it is complete or the connection is closed."""
    data = b''
    with gevent.Timeout(4.5):
        while part := sock.recv(65536):
            data += part
            if data.endswith(LAST_CHUNK):
                break
    return data


def begin_stream(entry, old, request_id='abc'):
    """Begin a stream at the only replica; return once its first events are read."""
    entry.hear(announced('old', old))
    sock = entry.open_stream(request_id)
    with gevent.Timeout(4.5):
        data = sock.recv(65536)
    assert b'id: 2' in data
    return sock


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


def test_a_return_that_nobody_knows_is_refused_while_two_versions_serve(gate_address):
    targets = ScriptedTarget([rest()]), ScriptedTarget([rest()])
    entry = Entry(gate_address)
    entry.hear(announced('old', targets[0]), announced('new', targets[1], 'v2'))
    answer = entry.resume()
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in answer
    assert [target.requests for target in targets] == [[], []]


def test_without_agents_a_return_goes_on_if_there_has_been_one_version(control):
    target = ScriptedTarget([rest()])
    entry = Entry(free_address())
    entry.hear(announced('old', target), control=control, directory_age_ms=60_000)
    assert entry.resume().startswith(b'HTTP/1.1 200')


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


class KnownDirectory:
    """What an entry knows of control nodes and of a service's versions."""

    def __init__(self, heard, *versions):
        self.heard = heard
        self.directory = self
        self.found = {
            ServiceVersion(service='model', version=version) for version in versions
        }

    def heard_controls(self, now):
        return self.heard

    def controls(self):
        return ()

    def directory_age_s(self, now):
        return 100.0

    def versions(self, service):
        return self.found


class Gates:
    """Finder whose gates know of one version, or of none."""

    def __init__(self, version=''):
        self.version = version

    def find(self, stream, gates, *, is_complete, until):
        if not self.version:
            return None
        version = ServiceVersion(service='model', version=self.version)
        return Origin(version=version, attempt=1, is_confirmed=True, noted_at=0.0)


@pytest.mark.parametrize(
    ('heard', 'versions', 'at_gates', 'expected'),
    [
        (1.0, ('v1',), 'v2', 'v1'),
        (0.7, ('v1',), 'v2', 'v2'),
        (0.7, ('v1',), '', 'v1'),
        (0.5, ('v1',), '', None),
        (1.0, ('v1', 'v2'), '', None),
        (1.0, ('v1', 'v2'), 'v2', 'v2'),
        (1.0, (), '', None),
    ],
)
def test_the_gates_are_asked_before_the_view_of_some_control_nodes_is_trusted(
    heard, versions, at_gates, expected
):
    stream_versions = StreamVersions(
        subscriber=KnownDirectory(heard, *versions),
        targets=None,
        finder=Gates(at_gates),
        open_streams=NoNotes(),
        metrics=Metrics(),
    )
    work = stream_work(time.monotonic())
    work.req = attrs.evolve(work.req, last_event=3, resumes='first')
    if expected is None:
        with pytest.raises(TurnedAway) as caught:
            stream_versions.resolve(work)
        assert (caught.value.status, caught.value.reason) == (503, 'version_unknown')
        assert caught.value.retry_after_s > 0
        return
    stream_versions.resolve(work)
    assert work.stream_version.version == expected


def test_a_stream_whose_service_has_left_the_route_is_refused():
    gone = ServiceVersion(service='other', version='v1')
    stream_versions = StreamVersions(
        subscriber=KnownDirectory(1.0, 'v1', 'v2'),
        targets=None,
        finder=Gates(),
        open_streams=NoNotes(),
        metrics=Metrics(),
    )
    begun = stream_work(time.monotonic())
    stream_versions.begun(begun, record(service='other'))
    assert begun.stream_version == gone
    work = stream_work(time.monotonic())
    work.req = attrs.evolve(work.req, last_event=3)
    with pytest.raises(TurnedAway) as caught:
        stream_versions.resolve(work)
    assert caught.value.reason == 'service_gone'
