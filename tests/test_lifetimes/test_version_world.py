"""Any order of ordinary events: no stream goes on at another version."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .version_world import World

CONTROLS = st.sampled_from(range(3))
ENTRIES = st.sampled_from(range(2))
# The first three serve from the beginning.
REPLICAS = st.sampled_from(range(4))
VERSIONS = st.sampled_from(('v1', 'v2', 'v2'))
# The part of a cut that a replica reports to, or any control node.
SIDES = st.sampled_from((True, False, None))
FIRST_S = st.sampled_from((0.0, 0.0, 2.5, 60.0))
LENGTH_S = st.sampled_from((0.3, 1.0, 3.0))
# What has happened becomes known within this time, where it can.
PAUSE_S = 0.3
# Streams that are begun at once, one at each replica, and taken up at once.
STREAMS = 4


class Versions(RuleBasedStateMachine):
    """Cuts, kills, restarts, late first reports and returns, in any order."""

    def __init__(self):
        super().__init__()
        self.world = World()

    def teardown(self):
        self.world.close()

    @initialize(entry=ENTRIES)
    def begin_some(self, entry):
        self.begin(entry)

    @rule(control=CONTROLS, entry=ENTRIES)
    def cut(self, control, entry):
        self.world.cut(
            {self.world.control_names[control], self.world.entry_names[entry]}
        )
        self.world.run(PAUSE_S)

    @rule()
    def heal(self):
        self.world.cut(set())

    @rule(entry=ENTRIES)
    def kill_entry(self, entry):
        self.world.kill(self.world.entry_names[entry])

    @rule(control=CONTROLS)
    def kill_control(self, control):
        self.world.kill(self.world.control_names[control])

    @rule(replica=REPLICAS, version=VERSIONS, first_s=FIRST_S, is_inside=SIDES)
    def restart(self, replica, version, first_s, is_inside):
        names = [
            name
            for name in self.world.control_names
            if is_inside in (None, name in self.world.inside)
        ]
        self.world.restart(replica, version, first_s=first_s, reports_to=names)
        self.world.run(PAUSE_S)

    @rule(entry=ENTRIES)
    def begin(self, entry):
        for choice in range(STREAMS):
            self.world.begin(self.world.entry_names[entry], choice)
        self.world.run(PAUSE_S)

    @rule(entry=ENTRIES)
    def come_back(self, entry):
        for stream in self.world.streams[-STREAMS:]:
            process = self.world.come_back(stream, self.world.entry_names[entry])
            assert process is None or process.version == stream.process.version

    @rule(seconds=LENGTH_S)
    def wait(self, seconds):
        self.world.run(seconds)


SETTINGS = settings(
    max_examples=25,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

# A stream holds events of two versions after a few ordinary events in a row.
Versions.TestCase.settings = SETTINGS
TestVersions = Versions.TestCase


@pytest.fixture
def machine():
    found = Versions()
    yield found
    found.teardown()


def took_up(world, number):
    """Take the last streams up at the second entry; return what began and goes on."""
    versions = []
    for stream in world.streams[-number:]:
        process = world.come_back(stream, world.entry_names[1])
        versions.append((stream.process.version, process and process.version))
    return versions


def test_streams_of_a_version_that_one_side_of_a_cut_knows_go_on_at_another(machine):
    machine.cut(control=2, entry=0)
    machine.restart(replica=3, version='v2', first_s=0.0, is_inside=True)
    machine.begin(entry=0)
    machine.kill_entry(entry=0)
    versions = took_up(machine.world, STREAMS)
    assert {gone_on for _, gone_on in versions} == {'v1'}
    assert all(began == gone_on for began, gone_on in versions)


@pytest.mark.parametrize('version', ['v2', 'v1'])
def test_streams_that_began_before_a_late_first_report_never_go_on(machine, version):
    world = machine.world
    for process in world.processes.values():
        process.ended_at = world.now
    for replica in range(3):
        machine.world.restart(replica, version, down_s=0.0, first_s=3.0)
    machine.begin(entry=0)
    # Notes of their processes take a question, a reply and the next bytes.
    machine.wait(seconds=1.0)
    machine.kill_entry(entry=0)
    machine.wait(seconds=6.0)
    assert took_up(machine.world, STREAMS) == [(version, version)] * STREAMS
