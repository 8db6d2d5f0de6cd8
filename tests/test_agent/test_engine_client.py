from __future__ import annotations

import gevent
import pytest

from pistachiopath.agent.engine_client import EngineClient
from pistachiopath.errors.outcomes import OutcomeKind
from pistachiopath.gate.run import Run, RunState
from pistachiopath.messages.dispatch import Work
from tests.test_exchange.sockets import CLOSE, RESET, ScriptedTarget

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
STREAM_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
WHOLE = HEAD + b'Content-Length: 4\r\n\r\ndone'
REFUSAL = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
CUT = {
    'in the head': [HEAD + b'Content-Len', CLOSE],
    'after the first line of the head': [HEAD[:17], CLOSE],
    'before the body': [HEAD + b'Content-Length: 4\r\n\r\n', CLOSE],
    'in the body': [WHOLE[:-2], CLOSE],
    'in a chunk': [HEAD + b'Transfer-Encoding: chunked\r\n\r\n9\r\nhalf', CLOSE],
    'by a reset, without a length': [HEAD + b'\r\nhalf', RESET],
    'within an event, without a length': [STREAM_HEAD + b'data: a\n\ndata: b', CLOSE],
}


class Client:
    """An engine client that records what becomes of its runs."""

    def __init__(self, target):
        self.outcomes = {}
        self.refused = []
        self.crashed = []
        self.on_data_error = None
        self.client = EngineClient(
            address=target.address,
            on_data=self._on_data,
            on_end=lambda run, outcome: self.outcomes.update({run.key: outcome}),
            on_refused=lambda run, retry_after_ms: self.refused.append(run.key),
            on_crash=lambda run: self.crashed.append(run.key),
        )

    def _on_data(self, run, status, content_type, data):
        if self.on_data_error is not None:
            raise self.on_data_error
        run.answer += data

    def run(self, key):
        work = Work(
            method='POST',
            path='/v1/chat',
            content_type='application/json',
            body=b'{}',
            tier=0,
            promised=True,
        )
        run = Run(
            key=key,
            binding=1,
            work=work,
            deadline=10.0,
            arrived_at=0.0,
            order=1,
            state=RunState.RUNNING,
        )
        self.client.start(run)
        with gevent.Timeout(5.0):
            while key not in self.outcomes and key not in self.refused:
                gevent.sleep(0.01)
        return run


@pytest.mark.parametrize('cut', CUT)
def test_an_answer_of_an_engine_that_is_cut_is_never_complete(cut):
    client = Client(ScriptedTarget(CUT[cut]))
    client.run(b'a')
    assert client.outcomes[b'a'].kind == OutcomeKind.FAILED
    assert client.outcomes[b'a'].reason == 'engine_lost'


@pytest.mark.parametrize(
    ('answer', 'body'),
    [
        ([WHOLE], b'done'),
        ([HEAD + b'\r\ndone', CLOSE], b'done'),
        ([STREAM_HEAD + b'data: a\n\n', CLOSE], b'data: a\n\n'),
    ],
)
def test_an_answer_with_or_without_a_length_is_whole(answer, body):
    client = Client(ScriptedTarget(answer))
    assert client.run(b'a').answer == body
    assert client.outcomes[b'a'].kind == OutcomeKind.COMPLETED


def test_a_refusal_that_an_engine_repeats_is_not_the_next_answer():
    target = ScriptedTarget([REFUSAL, REFUSAL + WHOLE], [WHOLE])
    client = Client(target)
    client.run(b'a')
    assert client.refused == [b'a']
    assert client.run(b'b').answer == b'done'
    assert client.refused == [b'a']


@pytest.mark.parametrize('stream', [b'a b', b'\xff', b'a?x=1', b's' * 1000])
def test_a_stream_id_that_no_path_can_hold_is_not_used(stream):
    # Regression: the request to resume raised, and the run never got an outcome.
    head = HEAD + b'X-Stream-Id: ' + stream + b'\r\nContent-Length: 4\r\n\r\n'
    client = Client(ScriptedTarget([head + b'do', CLOSE], [WHOLE]))
    client.run(b'a')
    assert client.outcomes[b'a'].kind == OutcomeKind.FAILED


def test_a_run_that_fails_unexpectedly_gives_its_place_back(caplog):
    # Regression: it never ended, and its place on the engine was lost.
    client = Client(ScriptedTarget([WHOLE]))
    client.on_data_error = RuntimeError()
    client.run(b'a')
    assert client.outcomes[b'a'].reason == 'agent_failed'
    assert 'engine_run_failed' in [r.getMessage() for r in caplog.records]
