from __future__ import annotations

import pytest

from pistachiopath.configuration.toml_file import load
from pistachiopath.platform import settings_watch
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.platform.settings_watch import SettingsWatch
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.failing import FailingMethod
from tests.harness.waiting import wait_until

SETTINGS = """
name = 'n'
role = 'entry'
zone = 'a'
ip = '127.0.0.1'
ports = [7600, 7615]
seeds = ['{seed}']
"""


class Program:
    """A program that records the seeds of the settings it is given."""

    def __init__(self):
        self.seeds = []

    def reload(self, cfg):
        self.seeds += cfg.seeds


class Watched:
    """A settings file, the program that it is for, and the watch on it."""

    def __init__(self, path):
        self._path = path
        self.write('10.0.0.1:1')
        self.program = Program()
        self.metrics = Metrics()
        self.watch = SettingsWatch(
            path=path,
            cfg=load(path, PlatformSettings),
            program=self.program,
            failures=LoopFailures(metrics=self.metrics),
        )
        self.watch.start()

    def write(self, seed):
        self._path.write_text(SETTINGS.format(seed=seed))


@pytest.fixture
def watched(tmp_path, monkeypatch):
    monkeypatch.setattr(settings_watch, 'POLL_INTERVAL_S', 0.01)
    watched = Watched(tmp_path / 'settings.toml')
    yield watched
    watched.watch.stop()


def test_a_change_that_could_not_be_applied_is_tried_again(watched):
    # Regression: the watch ended, and later changes were never applied.
    FailingMethod(watched.program, 'reload')
    watched.write('10.0.0.2:1')
    wait_until(lambda: watched.program.seeds == ['10.0.0.2:1'])
    watched.write('10.0.0.3:1')
    wait_until(lambda: watched.program.seeds == ['10.0.0.2:1', '10.0.0.3:1'])
    assert 'loop="settings",part="reload"} 1' in watched.metrics.render()


def test_an_unusable_file_is_ignored_until_it_is_mended(watched, caplog):
    watched.write("'")
    wait_until(lambda: caplog.records)
    assert caplog.records[0].getMessage() == 'settings_unusable'
    watched.write('10.0.0.2:1')
    wait_until(lambda: watched.program.seeds == ['10.0.0.2:1'])
