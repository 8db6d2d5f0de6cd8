from __future__ import annotations

import io
import json
from wsgiref.util import setup_testing_defaults

import gevent.queue
import pytest

from pistachiopath.claims.effects import Conclude, Deliver
from pistachiopath.entry.http import CallerApp, _StreamedAnswer
from pistachiopath.entry.settings import EntrySettings
from pistachiopath.errors.outcomes import Completed, Rejected, Unknown
from pistachiopath.exchange.request_memory import RequestMemory


class FakeShell:
    rules = None
    draining = False

    def __init__(self):
        self.outcomes = []

    def record_outcome(self, call, outcome):
        self.outcomes.append(outcome)

    def close_call(self, call):
        pass


class FakeCall:
    class parsed:  # noqa: N801
        request_id = 'r'

    def __init__(self, effects):
        self.effects = gevent.queue.Queue()
        for effect in effects:
            self.effects.put(effect)


def part(data):
    return Deliver(status=200, content_type='text', data=data)


def stream(effects):
    shell = FakeShell()
    first, *rest = effects
    held = RequestMemory().hold(lambda: None)
    answer = _StreamedAnswer(call=FakeCall(rest), shell=shell, first=first, held=held)
    return list(answer), shell


def test_queued_parts_are_written_at_once():
    done = Conclude(outcome=Completed(status=200, content_type='text', length=6))
    written, shell = stream([part(b'ab'), part(b'cd'), part(b'ef'), done])
    assert written == [b'abcdef']
    assert shell.outcomes == ['completed']


def test_final_error_follows_parts_of_stream():
    lost = Conclude(outcome=Unknown(reason='target_silent'))
    written, shell = stream([part(b'ab'), part(b'cd'), lost])
    assert written[0] == b'abcd'
    assert b'"type": "unknown"' in written[1]
    assert shell.outcomes == ['unknown']


def post(body=b'{}', **headers):
    """Post a completion to an entry that has no configuration yet."""
    cfg = EntrySettings(
        name='e', zone='dc0', http='127.0.0.1:1', controls=('127.0.0.1:2',), secret='s'
    )
    app = CallerApp(cfg=cfg, shell=FakeShell()).app
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/v1/completions',
        'wsgi.input': io.BytesIO(body),
        'CONTENT_LENGTH': str(len(body)),
        **{f'HTTP_{name.upper()}': value for name, value in headers.items()},
    }
    setup_testing_defaults(environ)
    statuses = []
    parts = app(environ, lambda status, _headers, _exc=None: statuses.append(status))
    return statuses[0], json.loads(b''.join(parts))['error']


def test_rejected_request_with_caller_id_may_have_run_before():
    # The entry used to reply that a request had not run without checking its
    # claim, so the caller could resend it under another id.
    status, error = post(idempotency_key='sent-before')
    assert (status[:3], error['code'], error['ran']) == (
        '503',
        'no_configuration',
        'unknown',
    )
    assert post()[1]['ran'] == 'no'


@pytest.mark.parametrize(
    ('reason', 'ran'), [('id_too_old', 'unknown'), ('id_reused', 'no')]
)
def test_only_expired_id_may_have_run(reason, ran):
    assert Rejected(reason=reason).ran == ran
