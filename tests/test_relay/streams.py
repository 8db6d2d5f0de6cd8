"""Requests on a resumable route, and stand-ins for what handles them."""

from __future__ import annotations

from pistachiopath.lifetimes.continuations import Continuations
from pistachiopath.relay.admitter import Admitted
from pistachiopath.relay.caller_request import CallerRequest
from pistachiopath.relay.work import make_work
from pistachiopath.routes.repetition import Repetition
from pistachiopath.routes.route import Route, Share
from pistachiopath.streams.service_version import version_of


def stream_work(
    now,
    *,
    tier=2,
    output_tokens=0,
    is_stream=True,
    timeout_s=15.0,
    objective_s=1.0,
    pause_s=0.0,
    deadline_s=None,
    attempts=None,
):
    """Return the state of a request that starts at `now`.

    `attempts` estimates what its caller has spent on earlier ones.
    """
    route = Route(
        name=f'r{tier}',
        host='h',
        prefix='/',
        shares=(Share(service='model', weight=1.0),),
        repetition=Repetition.RESUMABLE,
        is_stream=is_stream,
        timeout_s=timeout_s,
        objective_s=objective_s,
        pause_s=pause_s,
    )
    req = CallerRequest(
        http=None,
        request_id='abc',
        host='h',
        key='',
        prompt_tokens=1000,
        output_tokens=output_tokens,
        has_counts=True,
        deadline_s=deadline_s,
    )
    admitted = Admitted(route=route, service='model', customer=None, tier=tier, cost=0)
    spent_s = attempts.spent_s(req, route) if attempts else 0.0
    return make_work(req, admitted, now, spent_s=spent_s)


class NoNotes:
    """Notes that go nowhere."""

    def begun(self, stream, version, is_settled, *, start=None, has_gate=False):
        pass

    def ended(self, stream, *, is_complete, now):
        pass


class ProvenLifetimes:
    """Proof of each lifetime, as if all connections were old."""

    def is_proven(self, record, opened_at):
        return True

    def version_at(self, record, opened_at):
        return version_of(record)

    def is_doubted(self, record):
        return False

    def span_s(self, record, opened_at):
        return 0.0


def certain_continuations():
    """Return continuations for which all lifetimes are proven."""
    return Continuations(
        lifetimes=ProvenLifetimes(), ask=lambda replicas, now: None, announce_s=1.2
    )
