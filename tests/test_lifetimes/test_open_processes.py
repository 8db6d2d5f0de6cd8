"""Whether a holder's connection leads to the process that began a stream."""

from __future__ import annotations

import pytest

from pistachiopath.lifetimes.open_processes import MAX_QUESTIONS, OpenProcesses
from pistachiopath.lifetimes.process_spans import ProcessSpans
from pistachiopath.lifetimes.stream_start import StreamStart
from pistachiopath.messages.streams import WitnessedProcess
from pistachiopath.streams.name import stream_digest
from tests.test_directory.records import record

RECORD = record()
# The entry's connection was opened at this time, and brings bytes from then on.
OPENED_AT = 10.0
START = StreamStart(record=RECORD, opened_at=OPENED_AT, begun_at=10.1)


class View:
    """An entry whose stream has begun, and what it tells the holder."""

    def __init__(self):
        self.spans = ProcessSpans()
        self.processes = OpenProcesses(spans=self.spans)

    def hear(self, now, opened_at=OPENED_AT):
        self.spans.heard(RECORD.address, opened_at, now)

    def notes(self, now, start=START):
        return self.processes.notes({'c/a': start}, now)

    def reply(self, call, now, opened_ms=0, witness=7):
        found = WitnessedProcess(
            address=RECORD.address, witness=witness, opened_ms=opened_ms
        )
        self.processes.witnessed(call, [found], now)


@pytest.fixture
def view():
    found = View()
    found.hear(10.5)
    return found


def test_a_stream_is_noted_before_bytes_show_that_its_process_still_runs(view):
    call, notes, noted = view.notes(10.5)
    assert (notes[0].witness, notes[0].ran_ms, noted) == (0, 500, [])
    view.reply(call, 10.7)
    assert view.notes(10.8)[2] == []
    view.hear(10.9)
    _, notes, noted = view.notes(11.0)
    assert noted == ['c/a']
    assert (notes[0].witness, notes[0].digests) == (7, stream_digest('c/a'))


def test_a_connection_to_the_process_before_is_taken_for_one_to_this(view):
    call, _, _ = view.notes(10.6)
    view.reply(call, 10.7, opened_ms=700)
    view.hear(11.0)
    assert view.notes(11.0)[2] == []


def test_a_reply_that_came_late_is_taken_for_a_new_connection(view):
    # The holder opened it at some time between the question and the reply.
    call, _, _ = view.notes(10.6)
    view.reply(call, 14.0)
    view.hear(13.9)
    assert view.notes(14.1)[2] == []
    view.hear(14.05)
    assert view.notes(14.1)[2] == ['c/a']


def test_a_later_process_at_the_address_is_taken_for_the_one_that_began(view):
    call, _, _ = view.notes(10.6)
    view.hear(11.5, opened_at=11.2)
    view.reply(call, 11.3)
    assert view.notes(11.6)[2] == []


def test_connections_of_a_lost_holder_are_named_to_the_next(view):
    call, _, _ = view.notes(10.6)
    view.reply(call, 10.7)
    view.hear(11.0)
    view.processes.forget()
    assert view.notes(11.0)[2] == []
    view.reply(call, 11.1)
    assert view.notes(11.2)[2] == []


def test_questions_without_a_reply_are_kept_for_good(view):
    first, _, _ = view.notes(10.6)
    for _ in range(MAX_QUESTIONS):
        view.notes(10.6)
    view.reply(first, 10.7)
    view.hear(11.0)
    assert view.notes(11.0)[2] == []
