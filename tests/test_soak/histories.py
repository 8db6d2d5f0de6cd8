"""Fabricated histories: one sound request at a time, changed as a test needs it."""

from __future__ import annotations

import attrs

from tools.soak.arrival import Arrival, Ending
from tools.soak.attempt import Attempt, EventSeen, Outcome
from tools.soak.checks import violations
from tools.soak.documents import CUSTOMER
from tools.soak.exchange import BODY
from tools.soak.fault import FaultRecord
from tools.soak.history import History
from tools.soak.operations import Put
from tools.soak.replica_run import plain_text
from tools.soak.request_kind import RequestKind

REPLICA = 'i-desk-1-1'


def history(*requests, **fields) -> History:
    """Return a history of requests, each an attempt and its arrivals."""
    return History(
        attempts=[attempt for attempt, *_ in requests],
        arrivals=[arrival for _, *arrivals in requests for arrival in arrivals],
        **{'ended_at': 100.0, **fields},
    )


def found(past: History) -> set[str]:
    """Return the names of the checks that fail."""
    return {violation.check for violation in violations(past)}


def request(kind=RequestKind.SAFE, at=10.0, name='r1', **fields):
    """Return the attempt and the arrival of a request that is served in 0.2 s."""
    path = fields.pop('path', f'{kind.prefix}x/{"3" if kind.is_stream else "1"}')
    place = fields.pop('place', 'model-1' if kind.is_stream else 'desk-1')
    arrival = Arrival(
        request=name,
        replica=f'i-{place}-1',
        place=place,
        service=place.rpartition('-')[0],
        version='v1',
        at=at + 0.01,
        ran_at=at + 0.02,
        ended_at=at + 0.19,
        ending=Ending.WHOLE,
        status=200,
        method='POST',
        path=path,
        body=BODY.decode(),
        customer=CUSTOMER,
        signature=f'i-{place}-1.{name}',
    )
    arrival.text = plain_text(arrival)
    attempt = Attempt(
        request=name,
        kind=kind,
        path=path,
        entry='entry-1',
        lifetime=1,
        began_at=at,
        sent_at=at,
        head_at=at + 0.1,
        ended_at=at + 0.2,
        outcome=Outcome.ANSWERED,
        status=200,
        signature=arrival.signature,
        echoed=name,
        body='' if kind.is_stream else arrival.text,
        events=events(path, 1, 3) if kind.is_stream else [],
    )
    return attrs.evolve(attempt, **fields), arrival


def events(path, first, last, version='v1'):
    """Return events of a stream."""
    return [
        EventSeen(number=n, text=path, version=version) for n in range(first, last + 1)
    ]


def refused(status=503, **fields):
    """Return a request that its entry refuses without sending it to a replica."""
    attempt, _ = request(**fields)
    return (attrs.evolve(attempt, status=status, signature='', body='', events=[]),)


def cut(ended_after_s=0.2, head_at=float('inf'), **fields):
    """Return a request whose connection ends without a complete answer."""
    attempt, arrival = request(**fields)
    attempt = attrs.evolve(
        attempt,
        outcome=Outcome.CUT,
        status=0,
        signature='',
        head_at=head_at,
        ended_at=attempt.sent_at + ended_after_s,
        body='',
        events=[],
    )
    return attempt, arrival


def fault(kind, target, began_at, ended_at):
    """Return a fault that took place."""
    return FaultRecord(kind=kind, target=target, began_at=began_at, ended_at=ended_at)


def put(version, sent_at, acked_at=None, **fields):
    """Return a configuration that is acknowledged 0.1 s after it was sent."""
    acked_at = sent_at + 0.1 if acked_at is None else acked_at
    content = f'{{"version":{version}}}'
    return Put(
        version=version, content=content, sent_at=sent_at, acked_at=acked_at, **fields
    )
