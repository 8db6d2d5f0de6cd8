from __future__ import annotations

import time

import gevent

from pistachiopath.util import hub_watch
from pistachiopath.util.hub_watch import HubWatch


def stand_still(seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass


def test_a_greenlet_that_never_waits_is_named_once(monkeypatch, caplog):
    monkeypatch.setattr(hub_watch, 'STALL_S', 0.3)
    monkeypatch.setattr(hub_watch, 'CHECK_INTERVAL_S', 0.1)
    monkeypatch.setattr(hub_watch, 'BEAT_INTERVAL_S', 0.05)
    watch = HubWatch()
    watch.start()
    gevent.sleep(0.5)
    assert not caplog.records
    stand_still(1.0)
    gevent.sleep(0.3)
    watch.stop()
    (found,) = caplog.records
    assert found.msg == 'hub_stalled'
    assert found.frames.endswith('stand_still')
    assert found.stalled_ms >= 300
