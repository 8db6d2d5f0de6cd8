"""The report of an engine may be missing, garbled, slow or endless."""

from __future__ import annotations

import json
import time

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.engine_state.report import EngineReport
from pistachiopath.platform import engine_reader as reader_module
from pistachiopath.platform.engine_reader import MAX_REPORT_BYTES, EngineReader
from pistachiopath.platform.engine_report import decode_report
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.waiting import let_pass, wait_until
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, Paused, ScriptedTarget
from tools.free_address import free_address

REPORT = {'kv_used': 700, 'kv_total': 1000, 'runs': [['a', 10, 2, 0]]}


def response(body, status=b'200 OK'):
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s' % (status, len(body), body)


def good():
    return response(json.dumps(REPORT).encode())


class Reader:
    def __init__(self, address, is_wanted=True):
        self.metrics = Metrics()
        self.wanted = is_wanted
        self.reports = []
        self.reader = EngineReader(
            address=address,
            is_wanted=lambda now: self.wanted,
            on_report=lambda report, requested_at, now: self.reports.append(report),
            metrics=self.metrics,
            failures=LoopFailures(metrics=self.metrics),
        )
        self.reader.start()

    def result(self, name):
        return f'engine_reports_total{{result="{name}"}}' in self.metrics.render()


@pytest.fixture(autouse=True)
def quick_retries(monkeypatch):
    monkeypatch.setattr(reader_module, 'RETRY_INTERVAL_S', 0.02)
    monkeypatch.setattr(reader_module, 'MAX_RETRY_INTERVAL_S', 0.05)


@pytest.fixture
def start():
    readers = []

    def start_reader(address, **options):
        readers.append(Reader(address, **options))
        return readers[-1]

    yield start_reader
    for reader in readers:
        reader.reader.stop()


def test_reports_are_read_over_one_connection(start):
    target = ScriptedTarget([good()] * 3)
    reader = start(target.address)
    wait_until(lambda: len(reader.reports) == 3)
    assert reader.reports[0].held_tokens == 700
    assert reader.reports[0].runs[0].tokens == 10
    assert target.requests[0][0].startswith(b'GET /pistachiopath/report HTTP/1.1')


def test_an_engine_is_not_asked_without_the_switch(start):
    target = ScriptedTarget([good()] * 3)
    reader = start(target.address, is_wanted=False)
    let_pass(0.4)
    assert target.requests == []
    reader.wanted = True
    wait_until(lambda: reader.reports)


@pytest.mark.parametrize(
    ('script', 'result'),
    [
        ([RESET], 'BrokenOff'),
        ([CLOSE], 'BrokenOff'),
        ([response(b'{}', b'503 Busy')], 'garbled'),
        ([response(b'[1')], 'garbled'),
        ([response(b'[]')], 'garbled'),
        ([response(b'[' * 100_000)], 'garbled'),
        ([b'\x00\x01\r\n\r\n'], 'Garbled'),
        ([MUTE], 'timeout'),
        ([response(b'{}' + b' ' * MAX_REPORT_BYTES)], 'garbled'),
        ([good()[:-3], CLOSE], 'BrokenOff'),
    ],
    ids=[
        'reset', 'closed', 'refused', 'no json', 'no object', 'nested', 'no http',
        'silent', 'too long', 'cut',
    ],
)  # fmt: skip
def test_after_a_report_that_is_no_report_the_next_is_read(start, script, result):
    target = ScriptedTarget(script, [good()])
    reader = start(target.address)
    wait_until(lambda: reader.reports)
    assert reader.result(result)
    assert reader.reports == [decode_report(json.dumps(REPORT).encode())]


def test_a_report_that_never_ends_is_left(start):
    # Bytes that keep coming would otherwise fill the memory or hold the reader.
    chunk = b'400\r\n' + b' ' * 1024 + b'\r\n'
    endless = Paused(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        *[part for _ in range(400) for part in (chunk, 0.01)],
    )
    target = ScriptedTarget([endless], [good()])
    reader = start(target.address)
    started_at = time.monotonic()
    wait_until(lambda: reader.reports)
    assert reader.result('timeout') or reader.result('garbled')
    assert time.monotonic() - started_at < 4.0


def test_an_engine_that_is_not_there_is_asked_less_often_and_logged_once(start, caplog):
    caplog.set_level('INFO')
    reader = start(free_address())
    wait_until(lambda: reader.result('ConnectFailed'))
    gevent.sleep(0.3)
    lost = [r for r in caplog.records if r.msg == 'engine_report_missing']
    assert len(lost) == 1
    assert reader.reports == []


def test_an_error_of_the_gate_does_not_end_the_reader(start):
    target = ScriptedTarget([good()], [good()] * 2)
    reader = start(target.address)
    calls = []

    def fail_once(report, requested_at, now):
        calls.append(report)
        if len(calls) == 1:
            raise ValueError('bad')

    reader.reader._on_report = fail_once
    wait_until(lambda: len(calls) >= 2)
    assert 'loop_failures_total' in reader.metrics.render()


@pytest.mark.parametrize(
    'data',
    [
        {'kv_used': '7', 'runs': 'x'},
        {'kv_used': True, 'runs': {'a': 1}},
        {'kv_used': -1, 'runs': [None, 7, [], ['a'], ['a', 'b', 'c', 'd']]},
        {'kv_used': 1e400, 'runs': [[{}, 1, 1, 1], ['a', 1.5, 1, 1]]},
        {'kv_used': 2**80, 'runs': [['a', 2**80, 1, 1], ['a' * 300, 1, 1, 1]]},
    ],
)
def test_fields_of_another_type_are_left_out(data):
    assert decode_report(json.dumps(data).encode()) == EngineReport()


def test_a_usable_run_beside_unusable_ones_is_kept():
    data = {'runs': [[7, 10, 2, 0], ['b'], ['c', 3, 1, 'high']]}
    decoded = decode_report(json.dumps(data).encode())
    assert [(run.name, run.tokens) for run in decoded.runs] == [('7', 10), ('c', 3)]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(
    st.binary()
    | st.builds(
        lambda used, runs: json.dumps({'kv_used': used, 'runs': runs}).encode(),
        JSON,
        st.lists(st.lists(JSON, max_size=5)) | JSON,
    )
)
def test_any_bytes_are_decoded_or_refused(body):
    decoded = decode_report(body)
    assert decoded is None or decoded.held_tokens >= 0
