from __future__ import annotations

import attrs
import pytest

from tests.test_soak.histories import fault, found, history, put, refused, request
from tools.soak.fault_kind import FaultKind
from tools.soak.operations import Read
from tools.soak.request_kind import RequestKind

KEPT = {'configuration_kept'}
IN_FORCE = {'configuration_in_force'}
PUTS = [put(1, 1.0), put(2, 5.0)]


def read(version, at, status=200, content=None):
    content = f'{{"version":{version}}}' if content is None else content
    return Read(
        node='control-1',
        sent_at=at,
        ended_at=at + 0.1,
        status=status,
        version=version,
        content=content,
    )


@pytest.mark.parametrize(
    'wrong',
    [
        read(1, 8.0),
        read(0, 8.0, status=404, content=''),
        read(2, 8.0, content='{"version":2,"other":1}'),
        read(7, 8.0),
        read(2, 8.0, content='{'),
    ],
)
def test_an_older_or_another_configuration_is_found(wrong):
    assert found(history(puts=PUTS, reads=[wrong])) == KEPT


def test_reads_of_what_may_be_in_force_are_sound():
    reads = [read(1, 6.0), read(2, 6.0), read(2, 8.0), read(0, 9.0, status=503)]
    assert not found(history(puts=PUTS, reads=reads))


def test_a_configuration_that_cannot_be_read_at_the_end_is_found():
    gone = read(0, 50.0, status=503)
    past = history(request(at=49.0), puts=PUTS, reads=[gone], faults_until=20.0)
    assert found(past) == KEPT


def test_an_acknowledged_invalid_configuration_is_found():
    puts = [put(1, 1.0), put(2, 5.0, is_valid=False)]
    assert found(history(puts=puts)) == KEPT
    refusal = put(2, 5.0, acked_at=float('inf'), is_valid=False)
    assert not found(history(puts=[put(1, 1.0), refusal]))


def test_a_late_acknowledgement_is_found():
    late = put(2, 5.0, acked_at=9.5)
    assert found(history(puts=[put(1, 1.0), late])) == KEPT
    killed = fault(FaultKind.CORE_KILLED, '', 6.0, 6.5)
    assert not found(history(puts=[put(1, 1.0), late], faults=[killed]))


def extra(number, at, status=200, **fields):
    fields |= {'path': f'/extra-{number}/x/1', 'configuration': number}
    kind = RequestKind.EXTRA
    if status == 200:
        return request(kind, at, **fields)
    return refused(status, kind=kind, at=at, **fields)


def test_a_new_route_that_is_denied_is_found():
    assert found(history(extra(2, 8.0, 404), puts=PUTS)) == IN_FORCE
    assert not found(history(extra(2, 6.0, 404), puts=PUTS))


def test_a_removed_route_that_is_served_is_found():
    puts = [put(n, float(n)) for n in range(1, 5)]
    assert found(history(extra(1, 10.0), puts=puts)) == IN_FORCE
    assert not found(history(extra(2, 10.0), puts=puts))


def test_a_process_that_goes_back_is_found():
    # No acknowledgement came, so only the process itself has shown the version.
    puts = [put(1, 1.0), put(2, 5.0, acked_at=8.9)]
    shown = extra(2, 6.0, name='r1')
    denied = extra(2, 7.0, 404, name='r2')
    assert found(history(shown, denied, puts=puts)) == IN_FORCE
    restarted = extra(2, 7.0, 404, name='r2', lifetime=2)
    assert not found(history(shown, restarted, puts=puts))


def test_a_request_at_the_old_service_of_a_moved_route_is_found():
    # Even versions send it to the desk, odd ones to the ledger.
    sent = request(RequestKind.MOVED, 8.0)
    assert not found(history(sent, puts=PUTS))
    assert found(history(sent, puts=[*PUTS, put(3, 5.5)])) == IN_FORCE


def test_a_denied_route_that_all_versions_have_is_found():
    assert found(history(refused(404), puts=PUTS)) == IN_FORCE
    assert not found(history(refused(503), puts=PUTS))


def test_an_entry_that_was_cut_off_may_obey_an_older_version():
    paused = fault(FaultKind.ENTRY_PAUSED, 'entry-1', 4.0, 7.0)
    denied = extra(2, 8.0, 404)
    assert not found(history(denied, puts=PUTS, faults=[paused]))
    other = attrs.evolve(paused, target='entry-2')
    assert found(history(denied, puts=PUTS, faults=[other])) == IN_FORCE


def test_a_control_node_that_does_not_answer_at_the_end_is_found():
    outside = attrs.evolve(read(0, 90.0, status=503), node='control-4')
    sound = read(2, 90.0)
    assert found(history(puts=PUTS, last_reads=[sound, outside])) == {
        'control_nodes_serve'
    }
    assert not found(history(puts=PUTS, last_reads=[sound]))
