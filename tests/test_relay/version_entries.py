"""Entries, gates and scripted targets of a service with two software versions."""

from __future__ import annotations

import json
import random
import time

import gevent
import gevent.socket as gsocket

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.grants.shell import GateShell
from pistachiopath.messages.directory import HeardLifetime, News
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.platform.registration import decode_announcement
from pistachiopath.relay.entry import RelayEntry
from pistachiopath.relay.settings import LINK_SECRET, RelaySettings
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.telemetry.spans import NoSpans
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tools.free_address import free_address

from .parts import chunk, events

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


ANNOUNCE_INTERVAL_S = 0.1
# Control nodes have known all lifetimes for this long.
KNOWN_MS = 60_000


class Entry:
    """An entry that begins with empty memory.

    Without `announces` it learns nothing more of replicas after their first report, and
    with a list of names only of those.
    """

    def __init__(self, gate_address, *, announces=True):
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
        self._heard = {}
        self._announces = announces
        if announces:
            gevent.spawn(self._announce)

    def _announce(self):
        """Tell the entry all the time that the last lifetimes have just reported."""
        while True:
            heard = [
                HeardLifetime(
                    replica=r.replica,
                    born_ms=r.born_ms,
                    age_ms=0,
                    known_ms=KNOWN_MS,
                )
                for r in self._heard.values()
                if self._announces is True or r.replica in self._announces
            ]
            now = time.monotonic()
            self._entry._lifetimes.answered(heard, now, now)
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def hear(self, *records, control=CONTROL, directory_age_ms=0):
        """Receive the records from a control node."""
        self._heard |= {r.replica: r for r in records}
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
        self._entry._messages.handle(control, 0, news)

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


def start_gate():
    """Start the agent beside the replicas, which outlives the entries."""
    address = free_address()
    GateShell(address=address, secret=LINK_SECRET, metrics=Metrics()).start()
    return address


def start_silent_control():
    """Start a control node that is alive and answers nothing."""
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


def read_to_end(sock):
    """Read an answer until it is complete or the connection is closed."""
    data = b''
    with gevent.Timeout(4.5):
        while part := sock.recv(65536):
            data += part
            if data.endswith(LAST_CHUNK):
                break
    return data


def begin_stream(entry, old, request_id='abc', *, name='old'):
    """Begin a stream at the only replica; return once its first events are read."""
    entry.hear(announced(name, old))
    sock = entry.open_stream(request_id)
    with gevent.Timeout(4.5):
        data = sock.recv(65536)
    assert b'id: 2' in data
    return sock
