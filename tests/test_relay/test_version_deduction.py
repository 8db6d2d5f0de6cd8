"""What is needed to deduce the version that began a stream."""

from __future__ import annotations

import math
import time

import pytest

from pistachiopath.directory.directory import Directory
from pistachiopath.lifetimes.known_lifetimes import KnownLifetimes
from pistachiopath.lifetimes.lifetime_doubts import LifetimeDoubts
from pistachiopath.lifetimes.process_spans import ProcessSpans
from pistachiopath.lifetimes.version_deduction import Certainty, VersionDeduction
from pistachiopath.messages.directory import UNHEARD_MS, HeardLifetime
from tests.test_directory.records import record

from .streams import stream_work

TIMEOUT_S = 5.0
QUIET_S = 3.6
# The stream began at most this long before its return.
HORIZON_S = 2 * TIMEOUT_S
ROUTE = stream_work(0.0, timeout_s=TIMEOUT_S).admitted.route


class View:
    """An entry's view of replicas, whose caller has just come back."""

    def __init__(self):
        self.directory = Directory()
        self.answered = 1.0
        self.age_s = 100.0
        self.accepting = set()
        self.checked = []
        self.now = time.monotonic()
        self.spans = ProcessSpans()
        self.lifetimes = KnownLifetimes(
            subscriber=self, spans=self.spans, doubts=LifetimeDoubts()
        )
        self.deduction = VersionDeduction(
            subscriber=self,
            lifetimes=self.lifetimes,
            accepts=self._accepts,
            quiet_s=QUIET_S,
        )

    def _accepts(self, address):
        self.checked.append(address)
        return address in self.accepting

    def directory_age_s(self, now):
        return self.age_s

    def answered_controls(self, since, now):
        return self.answered

    def answered_by_majority(self, since, now, *, begin=math.inf):
        return self.answered > 0.5

    def know(self, name, **changes):
        details = {'born_ms': 1000, 'service': 'model', 'software_version': 'v1'}
        known = record(replica=name, address=f'{name}:1', **details | changes)
        self.directory.merge(known, self.now)
        return known

    def report(self, known, *, age_s=-0.1, known_s=60.0, quiet_s=0.0, has_left=False):
        """Learn when a lifetime reported, before the return or after it."""
        heard = HeardLifetime(
            replica=known.replica,
            born_ms=known.born_ms,
            age_ms=UNHEARD_MS if age_s is None else int(age_s * 1000),
            known_ms=int(known_s * 1000),
            quiet_ms=int(quiet_s * 1000),
            has_left=has_left,
        )
        self.lifetimes.answered([heard], self.now, self.now)

    def look(self):
        found = self.deduction.look(ROUTE, 'model', self.now)
        return found.certainty, found.reason


@pytest.fixture
def view():
    found = View()
    found.report(found.know('sound'))
    return found


def test_a_service_whose_replicas_have_all_reported_since_the_return_is_uncertain(view):
    assert view.look() == (Certainty.CERTAIN, '')


def test_a_replica_that_only_others_have_heard_counts_as_reported(view):
    view.report(view.know('late'), age_s=None)
    assert view.look() == (Certainty.WAITS, 'unreported')


def test_a_report_from_before_the_return_counts(view):
    view.report(view.know('late'), age_s=0.1)
    assert view.look() == (Certainty.WAITS, 'unreported')


def test_a_replica_that_writes_to_this_entry_is_waited_for(view):
    busy = view.know('busy')
    view.lifetimes.heard([busy], view.now - 60.0)
    view.report(busy, age_s=0.5)
    view.spans.heard(busy.address, view.now - 0.4, view.now + 0.1)
    # Its connection is younger than its last report.
    assert view.look() == (Certainty.WAITS, 'unreported')
    view.spans.heard(busy.address, view.now - 2.0, view.now + 0.1)
    assert view.look() == (Certainty.CERTAIN, '')


def test_a_process_between_two_lifetimes_of_a_version_is_overlooked(view):
    earlier = view.know('again', born_ms=1000)
    view.report(earlier, age_s=6.0)
    later = view.know('again', born_ms=7000)
    view.report(later, known_s=HORIZON_S - 1.0)
    assert view.look() == (Certainty.OTHERS, 'restarted')
    view.report(later, known_s=HORIZON_S + 1.0)
    assert view.look() == (Certainty.CERTAIN, '')


def test_a_lifetime_whose_clock_went_back_is_taken_for_the_one_on_record(view):
    on_record = view.know('again', born_ms=20_000)
    view.report(on_record, age_s=2.0)
    back = view.know('again', born_ms=4_000, software_version='v2')
    view.report(back)
    assert view.directory.get('again').born_ms == 20_000
    assert view.look()[0] is not Certainty.CERTAIN


def test_a_new_replica_keeps_streams_of_before_from_going_on(view):
    view.report(view.know('new'), known_s=1.0)
    assert view.look() == (Certainty.CERTAIN, '')


def test_a_replica_that_went_without_a_word_is_taken_for_one_that_left(view):
    gone = view.know('gone', state='gone')
    view.report(gone, age_s=2.0)
    assert view.look() == (Certainty.OTHERS, 'silent')
    view.report(gone, age_s=2.0, has_left=True)
    assert view.look() == (Certainty.CERTAIN, '')


def test_a_replica_that_has_been_dead_for_long_keeps_streams_from_going_on(view):
    dead = view.know('dead')
    view.report(dead, age_s=60.0, quiet_s=HORIZON_S + QUIET_S - 1.0)
    assert view.look() == (Certainty.OTHERS, 'silent')


def test_returns_wait_for_the_report_of_a_replica_that_has_missed_several(view):
    late = view.know('late')
    view.report(late, age_s=3.0, quiet_s=3.0)
    assert view.look() == (Certainty.WAITS, 'unreported')
    dead = view.know('dead')
    view.report(dead, age_s=4.0, quiet_s=4.0)
    assert view.look() == (Certainty.OTHERS, 'silent')


@pytest.mark.parametrize('is_up', [True, False])
def test_a_replica_that_serves_again_unreported_is_taken_for_dead(view, is_up):
    dead = view.know('dead')
    view.report(dead, age_s=60.0, quiet_s=HORIZON_S + QUIET_S + 1.0)
    if is_up:
        view.accepting.add(dead.address)
    expected = (Certainty.OTHERS, 'silent') if is_up else (Certainty.CERTAIN, '')
    assert view.look() == expected


def test_each_look_opens_a_connection_to_a_replica_that_reports_nothing(view):
    dead = view.know('dead')
    view.report(dead, age_s=60.0, quiet_s=HORIZON_S + QUIET_S + 1.0)
    view.accepting.add(dead.address)
    for _ in range(20):
        view.look()
    assert view.checked == [dead.address]


@pytest.mark.parametrize(
    ('answered', 'expected'),
    [(1.0, Certainty.CERTAIN), (0.7, Certainty.MOST), (0.5, Certainty.WAITS)],
)
def test_control_nodes_that_have_not_answered_since_the_return_are_passed_over(
    view, answered, expected
):
    view.answered = answered
    assert view.look()[0] is expected


def test_a_version_of_before_the_directory_is_overlooked(view):
    view.age_s = HORIZON_S - 1.0
    assert view.look() == (Certainty.OTHERS, 'young_directory')


def test_one_of_two_versions_is_deduced(view):
    view.report(view.know('other', software_version='v2'))
    assert view.look() == (Certainty.OTHERS, 'versions')


def test_control_nodes_that_have_all_started_again_are_passed_over(view):
    # None of them goes back to the stream's beginning, but this entry does.
    begins = []
    view.answered_by_majority = lambda since, now, *, begin=math.inf: (
        begins.append(begin) or begin == math.inf
    )
    assert view.look() == (Certainty.CERTAIN, '')
    view.answered = 0.7
    assert view.look() == (Certainty.WAITS, 'controls')
    assert begins[-1] < math.inf
