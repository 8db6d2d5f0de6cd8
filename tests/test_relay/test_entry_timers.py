from __future__ import annotations

import json
import random
import time

import pytest

from pistachiopath.admission.retry_budget import RetryBudgetLimits
from pistachiopath.directory.announcer import Announcer
from pistachiopath.grants import watch
from pistachiopath.messages.allowance import UseReport
from pistachiopath.messages.directory import Follow
from pistachiopath.messages.grants import WatchLoad
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.platform.dialect import PlatformDialect
from pistachiopath.relay.entry import RelayEntry
from pistachiopath.relay.settings import LINK_SECRET, RelaySettings
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.telemetry.spans import NoSpans
from tests.harness.failing import FailingMethod
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import wait_until
from tests.test_directory.records import record
from tests.test_platform.test_configuration import VALID
from tools.free_address import free_address

# Methods that the timers of an entry call.
TIMED_METHODS = {
    'controls': lambda entry: (entry._subscriber, 'tick'),
    'gates': lambda entry: (entry._targets, 'gates'),
    'own_gates': lambda entry: (entry._gates._own_gates, 'tick'),
    'lender': lambda entry: (entry._allowance, 'report'),
    'crashes': lambda entry: (entry._crashes._watch, 'pending'),
    'metrics': lambda entry: (entry._metrics, 'set'),
    'placement': lambda entry: (entry._placement, 'keep_only'),
    'notices': lambda entry: (entry._placement.health, 'take_ended_backoffs'),
}


class Control:
    """A control node, which is a lender and a gate as well."""

    def __init__(self):
        self.peer = RecordingPeer(secret=LINK_SECRET, on_message=self._on_message)
        self.address = self.peer.address
        self.number = self.peer.number
        self._announcer = Announcer(
            address=self.address, feed=1, silent_after_s=9.0, now=time.monotonic()
        )

    def publish(self, version):
        content = json.dumps({**VALID, 'version': version}).encode()
        now = time.monotonic()
        self.peer.send_all(self._announcer.publish(version, content, now))

    def announce(self, replica):
        self.peer.send_all(self._announcer.announce(replica, time.monotonic()))

    def _on_message(self, sender, _call, body):
        if isinstance(body, Follow):
            self.peer.send_all(self._announcer.follow(sender, body, time.monotonic()))


class Entry:
    """An entry that follows a control node over real sockets."""

    def __init__(self, control):
        self.metrics = Metrics()
        self.relay = RelayEntry(
            cfg=RelaySettings(
                name='e',
                zone='a',
                callers_address=free_address(),
                readiness_address=free_address(),
                node_address=free_address(),
                seeds=(control.address,),
                agent_port=int(control.address.rpartition(':')[2]),
                retry_budget=RetryBudgetLimits(ratio=0.2, slack=60, window_s=10),
                grace_s=0.0,
            ),
            dialect=PlatformDialect(),
            decode=decode_configuration,
            metrics=self.metrics,
            spans=NoSpans(),
            rng=random.Random(1),
        )
        self.relay.start()

    def has_replica(self, name):
        return self.relay._subscriber.directory.get(name) is not None


@pytest.fixture
def control():
    control = Control()
    control.publish(7)
    control.announce(record(replica='r1', address='127.0.0.1:9'))
    yield control
    control.peer.stop()


@pytest.fixture
def entry(control, monkeypatch):
    monkeypatch.setattr(watch, 'WATCH_RENEWAL_S', 0.2)
    entry = Entry(control)
    wait_until(lambda: entry.relay.is_ready and control.number(UseReport))
    yield entry
    entry.relay._timers.stop()
    entry.relay._network.close(drain_s=0)


@pytest.mark.parametrize('part', sorted(TIMED_METHODS))
def test_an_entry_follows_reports_and_watches_after_a_timer_has_failed(
    control, entry, part
):
    # Regression: one exception ended the timers, and the entry still answered.
    failing = FailingMethod(*TIMED_METHODS[part](entry.relay))
    wait_until(lambda: failing.failed)
    for cls in (Follow, UseReport, WatchLoad):
        before = control.number(cls)
        wait_until(lambda cls=cls, before=before: control.number(cls) > before)
    control.publish(8)
    control.announce(record(replica='r2', address='127.0.0.1:10'))
    wait_until(lambda: entry.has_replica('r2') and entry.relay._routes.version == 8)
    assert entry.relay.is_ready
    assert f'loop="entry_timers",part="{part}"}} 1' in entry.metrics.render()


def test_parts_after_one_that_always_fails_run_in_each_step(control, entry):
    FailingMethod(entry.relay._subscriber, 'tick', times=10**9)
    reports = control.number(UseReport)
    wait_until(lambda: control.number(UseReport) > reports + 1)
