from __future__ import annotations

import logging

import gevent
import pytest

from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.greenlet_errors import report_greenlet_errors
from pistachiopath.util.loop_failures import LoopFailures


@pytest.fixture
def metrics():
    metrics = Metrics()
    report_greenlet_errors(LoopFailures(metrics=metrics))
    yield metrics
    del gevent.get_hub().print_exception


def test_a_greenlet_that_ends_with_an_error_is_logged_and_counted(metrics, caplog):
    def fail():
        raise ValueError('x')

    with caplog.at_level(logging.ERROR):
        gevent.spawn(fail).join()
    assert [r.error for r in caplog.records] == ["ValueError('x')"]
    assert caplog.records[0].exc_info[2] is not None
    expected = 'loop_failures_total{loop="greenlet",part="ValueError"} 1'
    assert expected in metrics.render()


def test_a_killed_greenlet_is_no_error(metrics):
    greenlet = gevent.spawn(gevent.sleep, 5)
    gevent.sleep(0)
    greenlet.kill()
    assert 'loop_failures_total' not in metrics.render()
