"""What proves that a process is the lifetime that a record tells of."""

from __future__ import annotations

import attrs
import pytest

from pistachiopath.directory.directory import Directory
from pistachiopath.lifetimes.known_lifetimes import RETENTION_S, KnownLifetimes
from pistachiopath.lifetimes.lifetime_doubts import (
    MAX_REPORT_DELAY_S,
    RESTART_MIN_S,
    LifetimeDoubts,
)
from pistachiopath.lifetimes.process_spans import ProcessSpan, ProcessSpans
from pistachiopath.messages.directory import HeardLifetime
from pistachiopath.streams.service_version import version_of
from tests.test_directory.records import record

ADDRESS = record().address
FIRST = record(born_ms=1000, software_version='v1')
SECOND = record(born_ms=9000, software_version='v2')


class View:
    """An entry's view of one replica."""

    def __init__(self):
        self.directory = Directory()
        self.spans = ProcessSpans()
        self.doubts = LifetimeDoubts()
        self.lifetimes = KnownLifetimes(
            subscriber=self, spans=self.spans, doubts=self.doubts
        )

    def announce(self, known, now):
        self.directory.merge(known, now)
        self.lifetimes.heard([known], now)

    def answer(self, known, asked_at, age_s):
        heard = HeardLifetime(
            replica=known.replica, born_ms=known.born_ms, age_ms=int(age_s * 1000)
        )
        self.lifetimes.answered([heard], asked_at, asked_at)


def view():
    found = View()
    found.announce(FIRST, 1.0)
    return found


def test_a_process_is_taken_for_the_lifetime_on_record_for_its_age_alone():
    # A replica that cannot reach its control nodes announces nothing.
    known = view()
    known.spans.heard(ADDRESS, 10.0, 60.0)
    assert not known.lifetimes.is_proven(FIRST, 10.0)
    assert known.lifetimes.version_at(FIRST, 10.0) is None
    known.answer(FIRST, 60.0, 1.0)
    assert known.lifetimes.version_at(FIRST, 10.0) == version_of(FIRST)


def test_an_announcement_from_before_the_connection_is_taken_for_proof():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 12.5)
    known.answer(FIRST, 12.4, 2.5)
    assert not known.lifetimes.is_proven(FIRST, 10.0)
    known.answer(FIRST, 12.4, 1.2)
    assert known.lifetimes.is_proven(FIRST, 10.0)


def test_an_older_answer_hides_a_newer_one():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 12.5)
    known.answer(FIRST, 12.4, 1.2)
    known.answer(FIRST, 12.4, 4.0)
    assert known.lifetimes.is_proven(FIRST, 10.0)


def test_a_process_that_was_heard_after_a_later_lifetime_is_the_earlier_one():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 14.0)
    known.answer(FIRST, 11.0, 0.5)
    known.announce(SECOND, 13.0)
    assert not known.lifetimes.is_proven(FIRST, 10.0)
    assert known.lifetimes.version_at(FIRST, 10.0) is None


def test_a_stream_of_an_unreported_lifetime_is_of_the_version_on_record():
    # The record by which the replica was chosen was that of the lifetime before.
    known = view()
    known.answer(FIRST, 9.0, 0.5)
    known.spans.heard(ADDRESS, 10.0, 14.0)
    known.announce(SECOND, 13.0)
    assert known.lifetimes.version_at(FIRST, 10.0) is None
    known.answer(SECOND, 13.5, 0.1)
    assert known.lifetimes.version_at(FIRST, 10.0) == version_of(SECOND)


def test_the_version_of_a_lifetime_that_an_older_node_passed_on_stays_unknown():
    known = View()
    known.announce(attrs.evolve(FIRST, software_version=''), 1.0)
    known.announce(FIRST, 2.0)
    known.spans.heard(ADDRESS, 10.0, 14.0)
    known.answer(FIRST, 13.0, 0.1)
    assert known.lifetimes.version_at(FIRST, 10.0) == version_of(FIRST)


def test_a_stream_of_a_lifetime_that_ended_since_is_not_settled():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 14.0)
    known.answer(FIRST, 14.5, 1.0)
    known.announce(SECOND, 15.0)
    known.answer(SECOND, 16.0, 0.1)
    assert known.lifetimes.is_proven(FIRST, 10.0)
    assert not known.lifetimes.is_proven(SECOND, 10.0)


def test_a_lifetime_that_became_known_after_its_process_was_reached_needs_more():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 12.0)
    known.announce(SECOND, 12.5)
    known.answer(SECOND, 13.0, 0.1)
    assert not known.lifetimes.is_proven(SECOND, 10.0)
    known.spans.heard(ADDRESS, 10.0, 12.6)
    assert known.lifetimes.is_proven(SECOND, 10.0)


def test_a_lifetime_that_was_never_announced_here_is_proven():
    known = view()
    known.spans.heard(ADDRESS, 10.0, 14.0)
    known.answer(SECOND, 13.0, 0.1)
    assert not known.lifetimes.is_proven(SECOND, 10.0)
    assert known.lifetimes.version_at(SECOND, 10.0) is None


def test_the_only_lifetime_of_a_replica_is_forgotten_while_it_is_on_record():
    known = view()
    known.lifetimes.prune(1.0 + 2 * RETENTION_S)
    known.spans.heard(ADDRESS, 300.0, 304.0)
    known.answer(FIRST, 303.0, 0.5)
    assert known.lifetimes.is_proven(FIRST, 300.0)


def view_after_a_break():
    """Return a view of FIRST, whose connection broke at 10.0."""
    known = view()
    known.spans.heard(ADDRESS, 2.0, 9.9)
    known.doubts.note(FIRST, 10.0)
    return known


def test_a_late_announcement_proves_a_lifetime_that_ended_with_its_connection():
    # Regression (review/8): it was on its way while the replica started again.
    known = view_after_a_break()
    known.spans.heard(ADDRESS, 10.8, 12.5)
    known.answer(FIRST, 12.0, 0.1)
    assert not known.lifetimes.is_proven(FIRST, 10.8)
    assert not known.lifetimes.ran(FIRST.replica, FIRST.born_ms, 5.0, 11.0)
    assert not known.lifetimes.has_reported(FIRST, 11.0)
    # What the process before wrote is still settled.
    assert known.lifetimes.version_at(FIRST, 2.0) == version_of(FIRST)
    assert known.lifetimes.ran(FIRST.replica, FIRST.born_ms, 5.0, 10.0)


def test_a_break_without_an_end_hides_a_lifetime_for_good():
    known = view_after_a_break()
    later = 10.0 + MAX_REPORT_DELAY_S
    known.spans.heard(ADDRESS, 10.8, later + 1.0)
    known.answer(FIRST, later + 0.6, 0.5)
    assert known.lifetimes.is_proven(FIRST, 10.8)


def test_a_break_hides_a_lifetime_though_it_accepted_a_connection_at_once():
    known = view_after_a_break()
    known.doubts.accepted(FIRST, 10.0 + RESTART_MIN_S / 2)
    known.spans.heard(ADDRESS, 10.3, 12.5)
    known.answer(FIRST, 12.0, 0.1)
    assert known.lifetimes.is_proven(FIRST, 10.3)


def test_a_new_lifetime_is_doubted_for_the_break_of_the_one_before():
    known = view_after_a_break()
    known.spans.heard(ADDRESS, 10.8, 12.5)
    known.announce(SECOND, 11.5)
    known.answer(SECOND, 12.4, 0.1)
    assert known.lifetimes.is_proven(SECOND, 10.8)
    assert not known.lifetimes.is_proven(FIRST, 10.8)


# A process that another node has witnessed, and that began a stream.
SPAN = ProcessSpan(since=20.0, until=40.0)


def witnessed(known):
    """Return the proven version of the process."""
    return known.lifetimes.version_of_process(FIRST.replica, ADDRESS, SPAN)


def test_a_report_that_was_sent_before_a_process_began_proves_it():
    known = view()
    known.answer(FIRST, 20.0 + MAX_REPORT_DELAY_S, 0.1)
    assert witnessed(known) is None
    known.answer(FIRST, 20.0 + MAX_REPORT_DELAY_S, 0.0)
    assert witnessed(known) == version_of(FIRST)


def test_a_process_whose_first_report_came_late_stays_unknown():
    known = view()
    known.announce(SECOND, 23.0)
    known.answer(SECOND, 23.0, 0.0)
    # A report of the lifetime may have been sent before the process began.
    assert witnessed(known) is None
    known.answer(SECOND, 26.0, 0.0)
    assert witnessed(known) == version_of(SECOND)


def test_a_process_that_ended_before_its_first_report_is_taken_for_the_next():
    known = view()
    known.announce(SECOND, 41.0)
    known.answer(SECOND, 50.0, 0.0)
    assert witnessed(known) is None


def test_a_lifetime_that_was_replaced_meanwhile_proves_the_process():
    # The first report of the middle lifetime arrives after that of the last one.
    known = view()
    known.announce(attrs.evolve(SECOND, born_ms=9500, software_version='v3'), 22.0)
    known.announce(SECOND, 23.0)
    known.answer(SECOND, 40.0, 0.0)
    assert witnessed(known) is None


@pytest.mark.parametrize(
    'changes', [{'replica': 'another'}, {'address': 'elsewhere:80'}], ids=str
)
def test_a_lifetime_of_another_replica_or_address_proves_the_process(changes):
    known = view()
    other = attrs.evolve(SECOND, **changes)
    known.announce(other, 21.0)
    known.answer(other, 40.0, 0.0)
    assert witnessed(known) is None


def test_a_process_without_any_report_is_taken_for_the_lifetime_on_record():
    assert witnessed(view()) is None
