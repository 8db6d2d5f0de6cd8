from __future__ import annotations

import pytest

from tests.test_soak.histories import found, history, refused, request
from tools.soak.operations import OwnEnd, UncaughtError, Usage


def test_service_that_does_not_come_back_is_found():
    late = [refused(at=40.0 + n, name=f'r{n}') for n in range(4)]
    assert found(history(*late, faults_until=20.0)) == {'recovery'}
    served = [request(at=40.0 + n, name=f's{n}') for n in range(2)]
    assert not found(history(*late, *served, faults_until=20.0))


def test_no_requests_at_all_after_the_last_fault_are_found():
    assert found(history(request(at=5.0), faults_until=20.0)) == {'recovery'}


def usages(rss_mb, descriptors):
    return [
        Usage(
            program='entry-1',
            pid=7,
            at=float(second),
            rss_mb=rss_mb(second),
            descriptors=descriptors(second),
        )
        for second in range(60)
    ]


@pytest.mark.parametrize(
    ('rss_mb', 'descriptors'),
    [(lambda s: 40 + 2 * s, lambda _: 30), (lambda _: 40, lambda s: 30 + 5 * s)],
)
def test_memory_and_descriptors_that_keep_growing_are_found(rss_mb, descriptors):
    past = history(usages=usages(rss_mb, descriptors))
    assert found(past) == {'level_resources'}


def test_a_process_may_grow_at_its_start():
    past = history(usages=usages(lambda s: 20 + 5 * min(s, 8), lambda _: 30))
    assert not found(past)


def test_a_program_that_ends_by_itself_is_found():
    past = history(own_ends=[OwnEnd(program='entry-1', at=5.0, code=1)])
    assert found(past) == {'no_own_ends'}


def test_an_error_that_no_program_handles_is_found():
    error = UncaughtError(program='control-1', text='OverflowError: too large')
    assert found(history(errors=[error])) == {'no_uncaught_errors'}
