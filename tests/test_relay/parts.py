"""Dispatcher with scripted targets and a caller's connection in memory."""

from __future__ import annotations

import random
import time

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.directory.directory import Directory
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.exchange.request import HttpRequest
from pistachiopath.messages.grants import Ask, Granted
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.quarantine.crash_watch import CrashWatch
from pistachiopath.relay.admitter import Admitted
from pistachiopath.relay.caller_request import CallerRequest
from pistachiopath.relay.crashes import Crashes
from pistachiopath.relay.dispatcher import Dispatcher
from pistachiopath.relay.notices import Notices
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.places import Places
from pistachiopath.relay.retries import Retries
from pistachiopath.relay.stream_versions import StreamVersions
from pistachiopath.relay.work import make_work
from pistachiopath.routes.repetition import Repetition
from pistachiopath.routes.route import Route, Share
from pistachiopath.routing.placement import Candidate, Placement
from pistachiopath.routing.prompt_part import PromptPart
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.turn_clock import TurnClock
from tests.test_directory.records import record

from .streams import NoNotes, certain_continuations

SIGNED = b'Request-Id: abc\r\nReplica-Signature: s\r\n'


class FakeCaller:
    """Records what is written to the caller."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.finished = False

    @property
    def has_begun(self):
        return self.status is not None

    def respond(self, status, headers, body):
        self.begin(status, headers, body)
        self.finished = True

    def begin(self, status, headers, first):
        assert self.status is None, 'answered twice'
        self.status, self.headers, self.body = status, dict(headers), first

    def write(self, data):
        assert not self.finished
        self.body += data

    def finish(self):
        self.finished = True


class FakeEntry:
    """Directory and crash records of an entry, and the marks it broadcasts."""

    def __init__(self, replicas, *, refuses=False):
        self.directory = Directory()
        self.silent = set()
        self.sent_marks = []
        self.is_connected = True
        self.watch = CrashWatch()
        self.crashes = Crashes(
            watch=self.watch,
            subscriber=self,
            broadcast=self._broadcast,
            refuses=lambda address: refuses,
        )
        for replica in replicas:
            self.directory.merge(record(replica=replica), 0.0)

    def _broadcast(self, body):
        self.sent_marks.append(body)
        return self.is_connected

    def is_silent(self, replica, now):
        return replica in self.silent

    def contact_s(self, now):
        return now


class FakeTargets:
    """Targets, of which the first that is not excluded is the only candidate."""

    def __init__(self, targets, vanish, prefix, *, awaits_gate):
        self._targets = targets
        self._awaits_gate = awaits_gate
        self.vanish = vanish
        self._prefix = prefix
        self._calls = 0
        self.superseded = []
        self.doubted = []
        self.accept = True
        self.leaving = set()

    def mark_superseded(self, replica_record, now):
        self.superseded.append(replica_record.replica)

    def candidates(self, service, excluded, now):
        self._calls += 1
        if self.vanish and self._calls > 1:
            return []
        found = [
            Candidate(
                record=record(replica=f'{self._prefix}{n}', address=target.address),
                load=None,
                is_silent=False,
                awaits_gate=self._awaits_gate,
            )
            for n, target in enumerate(self._targets)
        ]
        return [c for c in found if c.record.replica not in excluded][:1]

    def gate(self, replica_record):
        return replica_record.replica

    def may_send(self, replica_record, now):
        return self.accept and replica_record.replica not in self.leaving

    def mark_leaving(self, replica_record, now):
        return False

    def first_backoff_end(self, service, now):
        return None

    def draining(self, service, excluded, now):
        return []

    def may_resume(self, replica_record, now):
        return self.may_send(replica_record, now)

    def doubt(self, replica_record, now):
        self.doubted.append(replica_record.replica)

    def is_version_gone(self, version, now):
        return False


class GrantingGate:
    """Grants every place, and records the types of the messages it receives."""

    def __init__(self):
        self.received = []
        self.places = Places(send=self._send)

    def _send(self, to, call, body):
        self.received.append(type(body))
        if isinstance(body, Ask):
            self.places.handle_reply(to, Granted(request=body.request))


def answer(body=b'done', status=b'200 OK', extra=SIGNED):
    return b'HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s' % (
        status,
        extra,
        len(body),
        body,
    )


def events(first, last):
    return b''.join(b'id: %d\ndata: w\n\n' % n for n in range(first, last + 1))


def stream_head(extra=b''):
    return (
        b'HTTP/1.1 200 OK\r\n' + SIGNED + extra + b'Transfer-Encoding: chunked\r\n\r\n'
    )


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


NOT_RUN = answer(b'', b'503 Busy', b'Request-Id: abc\r\nNot-Executed: 1\r\n')
FAILED = answer(b'oops', b'500 Error')


def serve(
    targets,
    repetition,
    *,
    stream=False,
    attempts=2,
    budget=100.0,
    wait_s=5.0,
    objective_s=1.0,
    vanish=False,
    crashes=None,
    prefix='r',
    gate=None,
    superseded=None,
    accept=True,
    leaving=(),
    pool=None,
    parts=(),
    caller=None,
):
    """Serve one request; return the caller and the work.

    Without a `gate` the targets have none.  The names of replicas whose lifetime
    has ended are appended to `superseded`.  Without `accept` the targets have
    begun to leave since they were chosen, as have the replicas named by `leaving`.
    """
    fake_targets = FakeTargets(targets, vanish, prefix, awaits_gate=bool(gate))
    fake_targets.accept = accept
    fake_targets.leaving = set(leaving)
    if superseded is not None:
        fake_targets.superseded = superseded
    crashes = crashes or FakeEntry([]).crashes
    route = Route(
        name='r',
        host='h',
        prefix='/',
        shares=(Share(service='model', weight=1.0),),
        repetition=repetition,
        is_stream=stream,
        timeout_s=wait_s,
        objective_s=objective_s,
        max_targets=attempts,
    )
    req = CallerRequest(
        http=HttpRequest(
            method=b'POST',
            target=b'/p',
            headers=[(b'host', b'h'), (b'request-id', b'abc')],
            body=b'body',
        ),
        request_id='abc',
        host='h',
        key='',
        parts=tuple(PromptPart(part_id=part, tokens=9) for part in parts),
    )
    admitted = Admitted(route=route, service='model', customer=None, tier=0, cost=0.0)
    work = make_work(req, admitted, time.monotonic())
    places = gate.places if gate else Places(send=lambda *_: None)
    placement = Placement(zone='a', rng=random.Random(1))
    dispatcher = Dispatcher(
        dialect=PlatformDialect(),
        pool=pool or ConnectionPool(request_id_header=b'request-id'),
        places=places,
        placement=placement,
        placer=Placer(
            places=places,
            placement=placement,
            targets=fake_targets,
            is_quarantined=crashes.is_quarantined,
            rng=random.Random(2),
        ),
        retries=Retries(
            limits=RetryBudgetLimits(ratio=0.0, slack=budget, window_s=10.0),
            known_entries=lambda: 1,
            crashes=crashes,
        ),
        crashes=crashes,
        notices=Notices(
            dialect=PlatformDialect(),
            targets=fake_targets,
            health=placement.health,
            metrics=Metrics(),
        ),
        versions=StreamVersions(
            search=None,
            open_streams=NoNotes(),
            continuations=certain_continuations(),
            turns=TurnClock(),
            metrics=Metrics(),
        ),
        continuations=certain_continuations(),
    )
    caller = caller or FakeCaller()
    dispatcher.serve(caller, work)
    return caller, work


IDEMPOTENT = Repetition.IDEMPOTENT
ONCE = Repetition.ONCE
RESUMABLE = Repetition.RESUMABLE
