from __future__ import annotations

import math

import gevent
import pytest

from pistachiopath.document.noted_streams import NotedStreams
from pistachiopath.effects import Send
from pistachiopath.lifetimes.open_streams import (
    FLUSH_S,
    MAX_STREAMS_PER_MESSAGE,
    REPEAT_INTERVAL_S,
    REPORT_WAIT_S,
    OpenStreams,
)
from pistachiopath.lifetimes.restart_watch import RestartWatch
from pistachiopath.lifetimes.stream_start import StreamStart
from pistachiopath.streams.memory import MAX_STREAMS, STREAM_RETENTION_S
from pistachiopath.streams.name import DIGEST_BYTES
from pistachiopath.streams.service_version import ServiceVersion
from pistachiopath.telemetry.metrics import Metrics
from tests.test_directory.records import record

OWN = '10.0.0.1:7681'
V1 = ServiceVersion(service='model', version='v1')
V2 = ServiceVersion(service='model', version='v2')


def v1():
    """Tell that a stream is proven to be of this version."""
    return V1


def v2():
    """Tell that a stream is proven to be of this version."""
    return V2


class Controls:
    """Control nodes that hold notes, and the versions that an entry knows of."""

    def __init__(self, *addresses, versions=(V1, V2)):
        self.addresses = addresses
        self.known = versions
        self.is_majority = True
        self.now = 0.0
        self.directory = self
        self.sent = []
        self.nodes = {address: NotedStreams() for address in addresses}
        self.restarts = RestartWatch(started_at=-math.inf)
        self.streams = OpenStreams(
            own_address=OWN,
            subscriber=self,
            restarts=self.restarts,
            send=self._send,
            metrics=Metrics(),
        )

    def heard(self, now):
        return self.addresses

    def hears_majority(self, now):
        return self.is_majority

    def versions(self, service):
        return frozenset(self.known)

    def _send(self, to, call, body):
        effect = Send(to=to, call=call, body=body)
        self.sent.append(effect)
        self.nodes[effect.to].note(effect.body.notes, self.now)

    def tick(self, now=0.0):
        self.now = now
        self.streams.tick(now)

    def version(self, address, stream, now=0.0):
        found = self.nodes[address].find((stream,), now).origins
        return found[0].software_version if found else ''


def test_streams_of_a_service_with_one_version_cost_messages():
    controls = Controls('10.0.0.2:7682', versions=(V1,))
    controls.streams.begun('c/a', V1, v1)
    controls.tick()
    assert controls.sent == []
    controls.known = (V1, V2)
    controls.tick(0.4)
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'


def test_streams_beside_a_restart_end_with_their_entry_as_nobody_can_deduce_them():
    controls = Controls('10.0.0.2:7682', versions=(V1,))
    controls.streams.begun('c/a', V1, v1)
    controls.restarts.note('other', 0.0)
    controls.tick()
    assert controls.sent == []
    controls.restarts.note('model', 0.3)
    controls.tick(0.4)
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'


def test_a_stream_that_broke_off_is_refused_elsewhere_while_one_version_serves():
    controls = Controls('10.0.0.2:7682', versions=(V1,))
    controls.streams.begun('c/a', V1, v1)
    controls.streams.ended('c/a', is_complete=False, now=0.0)
    gevent.sleep(2 * FLUSH_S)
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'
    assert len(controls.streams) == 0


def test_a_stream_that_broke_off_is_forgotten_while_no_control_node_is_heard():
    controls = Controls('10.0.0.2:7682')
    controls.addresses = ()
    controls.streams.begun('c/a', V1, v1)
    controls.streams.ended('c/a', is_complete=False, now=0.0)
    controls.tick()
    controls.addresses = ('10.0.0.2:7682',)
    controls.tick(0.4)
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'


def test_a_stream_that_is_complete_costs_a_message():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    controls.streams.ended('c/a', is_complete=True, now=controls.now)
    controls.tick()
    assert controls.sent == []


def test_a_stream_whose_answer_broke_off_before_it_was_noted_is_forgotten():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    controls.streams.ended('c/a', is_complete=False, now=controls.now)
    controls.tick()
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'
    assert len(controls.streams) == 0


def test_what_the_entry_notes_ends_with_its_own_vm():
    here, elsewhere = '10.0.0.1:7682', '10.0.0.2:7682'
    controls = Controls(here, elsewhere)
    controls.streams.begun('c/a', V1, v1)
    controls.tick()
    assert [effect.to for effect in controls.sent] == [elsewhere]


def test_open_streams_are_forgotten_with_a_lost_control_node():
    controls = Controls('10.0.0.2:7682', '10.0.0.3:7682')
    controls.streams.begun('c/a', V1, v1)
    controls.tick()
    first = controls.sent[0].to
    (other,) = set(controls.nodes) - {first}
    controls.addresses = (other,)
    controls.tick(0.4)
    assert controls.version(other, 'c/a') == 'v1'


def test_open_streams_are_forgotten_when_their_control_node_starts_again():
    address = '10.0.0.2:7682'
    controls = Controls(address)
    controls.streams.begun('c/a', V1, v1)
    controls.tick()
    controls.nodes[address] = NotedStreams()
    controls.streams.handle_lost(address)
    controls.tick(0.4)
    assert controls.version(address, 'c/a') == 'v1'


def test_a_stream_is_noted_again_and_again():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    for step in range(50):
        controls.tick(step * 0.4)
    assert len(controls.sent) == 1


def test_a_stream_that_lasts_longer_than_the_memory_of_its_holder_is_forgotten():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    for step in range(4):
        now = step * REPEAT_INTERVAL_S
        controls.tick(now)
        assert controls.version('10.0.0.2:7682', 'c/a', now) == 'v1'


def test_streams_of_two_versions_are_mixed_up():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    controls.streams.begun('c/b', V2, v2)
    controls.tick()
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'
    assert controls.version('10.0.0.2:7682', 'c/b') == 'v2'
    assert controls.version('10.0.0.2:7682', 'c/c') == ''


def test_memory_grows_without_bound_while_no_control_node_is_heard():
    controls = Controls()
    for number in range(MAX_STREAMS + 10):
        controls.streams.begun(f'c/{number}', V1, v1)
    controls.tick()
    assert len(controls.streams) == MAX_STREAMS


def test_a_message_grows_with_the_number_of_streams():
    controls = Controls('10.0.0.2:7682')
    for number in range(MAX_STREAMS_PER_MESSAGE + 1):
        controls.streams.begun(f'c/{number}', V1, v1)
    controls.tick()
    sizes = [len(effect.body.notes[0].digests) for effect in controls.sent]
    assert sizes == [MAX_STREAMS_PER_MESSAGE * DIGEST_BYTES, DIGEST_BYTES]


@pytest.mark.parametrize('size', [0, 1, DIGEST_BYTES - 1, DIGEST_BYTES + 1])
def test_notes_of_an_odd_length_end_the_control_node(size):
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v1)
    controls.tick()
    notes = controls.sent[0].body.notes[0]
    node = NotedStreams()
    node.note((type(notes)(service='s', software_version='v', digests=b'x' * size),), 0)
    assert len(node) == size // DIGEST_BYTES


def test_a_stream_is_noted_before_it_is_certain_which_lifetime_began_it():
    controls = Controls('10.0.0.2:7682')
    certain = []
    controls.streams.begun('c/a', V1, lambda: V1 if certain else None)
    controls.streams.ended('c/a', is_complete=False, now=0.1)
    controls.tick(0.4)
    assert controls.version('10.0.0.2:7682', 'c/a') == ''
    certain.append(True)
    controls.tick(0.8)
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v1'


def test_a_stream_is_noted_with_the_version_that_its_replica_was_taken_for():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, v2)
    controls.tick()
    assert controls.version('10.0.0.2:7682', 'c/a') == 'v2'


def test_a_stream_that_is_never_certain_is_kept_for_ever():
    controls = Controls('10.0.0.2:7682')
    controls.streams.begun('c/a', V1, lambda: None)
    controls.streams.ended('c/a', is_complete=False, now=0.1)
    controls.tick(STREAM_RETENTION_S)
    assert len(controls.streams) == 1
    controls.tick(STREAM_RETENTION_S + 0.2)
    assert len(controls.streams) == 0


def test_young_streams_of_gates_cost_questions():
    controls = Controls('10.0.0.2:7682')
    asked = []
    start = StreamStart(record=record(), opened_at=9.0, begun_at=10.0)

    def proven():
        asked.append(controls.now)

    controls.streams.begun('c/a', V1, proven, start=start, has_gate=True)
    controls.tick(10.0 + REPORT_WAIT_S - 0.1)
    assert asked == []
    controls.tick(10.0 + REPORT_WAIT_S)
    assert len(asked) == 1


def test_a_stream_of_a_gate_whose_version_is_proven_is_noted():
    controls = Controls('10.0.0.2:7682')
    start = StreamStart(record=record(), opened_at=9.0, begun_at=10.0)
    controls.streams.begun('c/a', V1, v1, start=start, has_gate=True)
    controls.tick(20.0)
    assert controls.sent == []
