from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import gevent
import pytest

from pistachiopath.util.standstill_watch import StandstillWatch

PROGRAM = """
import logging, sys, gevent
from pistachiopath.telemetry.logs import configure_logging
from pistachiopath.util.standstill_watch import StandstillWatch
configure_logging('program', 'node', 'info', sys.stdout)
StandstillWatch().start()
gevent.sleep(0.2)
print('ready', flush=True)
gevent.sleep(60)
"""


@pytest.fixture
def watch():
    watch = StandstillWatch()
    watch.start()
    gevent.sleep(0.01)
    yield watch
    watch.stop()


@pytest.fixture
def program():
    process = subprocess.Popen(
        [sys.executable, '-c', PROGRAM], stdout=subprocess.PIPE, text=True
    )
    yield process
    process.kill()
    process.communicate()


def test_the_log_tells_how_long_a_process_was_stopped(program):
    line = program.stdout.readline()
    while not line.startswith('ready'):
        line = program.stdout.readline()
    os.kill(program.pid, signal.SIGSTOP)
    time.sleep(1.0)
    os.kill(program.pid, signal.SIGCONT)
    line = program.stdout.readline()
    assert ' msg=standstill ' in line
    fields = dict(field.split('=', 1) for field in line.split() if '=' in field)
    assert int(fields['stood_ms']) >= 850
    assert int(fields['cpu_ms']) < 500


def test_a_greenlet_that_never_waits_is_told_from_a_stop_by_its_processor_time(
    watch, caplog
):
    until = time.process_time() + 0.6
    while time.process_time() < until:
        pass
    gevent.sleep(0.15)
    (found,) = caplog.records
    assert found.msg == 'standstill'
    assert found.cpu_ms >= 500


def test_a_process_that_turns_logs_nothing(watch, caplog):
    gevent.sleep(0.6)
    # A busy machine may stop the test itself: then the line is true.
    assert all(record.stood_ms >= 250 for record in caplog.records)
    assert sum(record.stood_ms for record in caplog.records) < 600
