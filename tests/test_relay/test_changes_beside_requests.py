"""Requests in each phase beside a change of the configuration."""

from __future__ import annotations

import attrs
import gevent
import pytest

from tests.harness.waiting import let_pass
from tests.test_directory.records import record
from tests.test_exchange.sockets import Paused, ScriptedTarget

from .parts import answer, chunk, events, stream_head
from .test_entry import Node
from .test_planned_stop import Caller, document, post

# Longer than the silence after which a place elsewhere is sought, 1.2 s at most here.
SILENCE_S = 1.5
WAIT_S = 6.0
PLAIN = answer()
CHUNKS = chunk(events(0, 5))
END = b'0\r\n\r\n'
PLAIN_ANSWERS = {
    'before the head': [SILENCE_S, PLAIN],
    'in the head': [PLAIN[:20], SILENCE_S, PLAIN[20:]],
    'in the last bytes': [PLAIN[:-1], SILENCE_S, PLAIN[-1:]],
}
STREAMS = {
    'before the head': [SILENCE_S, stream_head() + CHUNKS + END],
    'in an event': [stream_head() + CHUNKS[:30], SILENCE_S, CHUNKS[30:] + END],
    'before the end': [stream_head() + CHUNKS, SILENCE_S, END],
}


def all_routes_removed(changed):
    changed.update(routes=[], backends=[])


def routes_moved(changed):
    other = {'plain': 'model', 'model': 'plain'}
    for route in changed['routes']:
        route['backend'] = other[route['backend']]


def timeouts_shortened(changed):
    for route in changed['routes']:
        route['timeout_ms'] = 1


def keys_required_and_taken_away(changed):
    changed['tenants'] = [{'name': 't', 'api_keys': ['other']}]
    for route in changed['routes']:
        route['public'] = False


def limits_lowered(changed):
    changed['limits'] = {
        'idle_timeout_ms': 1,
        'header_timeout_ms': 1,
        'max_body_bytes': 1,
        'max_header_bytes': 10,
    }


def health_paths_changed(changed):
    for service in changed['backends']:
        service['health_check'] = '/other'


def engines_removed(changed):
    for service in changed['backends']:
        service.pop('engine', None)


def attempts_and_objectives_changed(changed):
    for route in changed['routes']:
        route.update(attempts=1, target_latency_ms=1, priority=5)


CHANGES = [
    all_routes_removed,
    routes_moved,
    timeouts_shortened,
    keys_required_and_taken_away,
    limits_lowered,
    health_paths_changed,
    engines_removed,
    attempts_and_objectives_changed,
]


class Requests:
    """Requests at one entry: plain ones, streams, one that waits, and unread ones."""

    def __init__(self):
        self.node = Node()
        plain = ScriptedTarget(
            [PLAIN],
            *[[Paused(*parts)] for parts in PLAIN_ANSWERS.values()],
            [PLAIN],
            [PLAIN],
            [PLAIN],
        )
        model = ScriptedTarget(
            *[[Paused(*parts)] for parts in STREAMS.values()], [PLAIN]
        )
        self._records = [
            record(replica='p', service='plain', address=plain.address),
            record(replica='m', address=model.address, slots=len(STREAMS)),
        ]
        self.node.receive_news(document(), self._records)
        self.kept = self._send(post(b'/pay'), '')
        self.plain = [self._send(post(b'/pay'), name) for name in PLAIN_ANSWERS]
        self.streams = [self._send(post(b'/gen/x'), name) for name in STREAMS]
        self.waiting = self._send(post(b'/engine/x'), 'waiting')
        self.in_head = self._send(post(b'/pay')[:30], 'in the head')
        self.in_body = self._send(post(b'/pay')[:-1], 'in the body')
        assert len(model.requests) == len(STREAMS)

    def _send(self, data, name):
        caller = Caller(self.node, data)
        caller.name = name
        let_pass(0.05)
        return caller

    def change(self, change):
        changed = document()
        change(changed)
        changed['version'] += 1
        self.node.receive_news(changed, self._records)

    def finish_unread(self):
        self.kept.received = b''
        self.kept.send(post(b'/pay'))
        self.in_head.send(post(b'/pay')[30:])
        self.in_body.send(post(b'/pay')[-1:])


def wait_until(condition):
    with gevent.Timeout(WAIT_S, exception=False):
        while not condition():
            gevent.sleep(0.02)


def check_answers(requests):
    whole = {c: PLAIN[-4:] for c in [*requests.plain, requests.waiting]}
    whole |= {c: CHUNKS[-10:] + END for c in requests.streams}
    unread = [requests.kept, requests.in_head, requests.in_body]
    wait_until(lambda: all(c.received.endswith(end) for c, end in whole.items()))
    wait_until(lambda: all(c.statuses for c in unread))
    for caller, end in whole.items():
        assert caller.statuses == [200], caller.name
        assert caller.received.endswith(end), caller.name
    for caller in unread:
        assert len(caller.statuses) == 1, caller.name


@pytest.mark.parametrize('change', CHANGES)
def test_requests_are_answered_beside_a_change_of_the_configuration(change):
    requests = Requests()
    requests.change(change)
    let_pass(0.1)
    requests.finish_unread()
    check_answers(requests)


def test_requests_are_answered_beside_a_reload_and_the_loss_of_all_control_nodes():
    requests = Requests()
    requests.node.entry.set_seeds(('127.0.0.1:1',))
    requests.node.entry._messages.handle_lost('127.0.0.1:9')
    let_pass(0.1)
    requests.finish_unread()
    check_answers(requests)


LATER_MS = 10**6


@pytest.mark.parametrize(
    'news',
    [
        {'state': 'draining'},
        {'state': 'gone'},
        {'born_ms': LATER_MS},
        {'replica': 'other', 'born_ms': LATER_MS},
        {'service': 'plain', 'replica': 'other', 'born_ms': LATER_MS},
    ],
)
def test_a_running_request_is_answered_whatever_is_heard_of_its_replica(news):
    node = Node()
    model = ScriptedTarget(*[[Paused(*parts)] for parts in STREAMS.values()])
    old = record(replica='m', address=model.address, slots=len(STREAMS))
    node.receive_news(document(), [old])
    callers = []
    for _ in STREAMS:
        callers.append(Caller(node, post(b'/gen/x')))
        let_pass(0.05)
    assert len(model.requests) == len(STREAMS)
    node.receive_news(document(), [attrs.evolve(old, sequence=2, **news)])
    wait_until(lambda: all(c.received.endswith(END) for c in callers))
    for caller in callers:
        assert caller.statuses == [200]
        assert caller.received.endswith(CHUNKS[-10:] + END)
