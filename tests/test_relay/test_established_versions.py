"""Streams begin only at versions that more than half of the control nodes know."""

from __future__ import annotations

import json

import gevent
import pytest

from pistachiopath.messages.directory import News
from tests.test_exchange.sockets import ScriptedTarget
from tools.free_address import free_address

from .version_entries import DOCUMENT, Entry, announced, read_to_end, rest

CONTROLS = ('127.0.0.1:7', '127.0.0.1:8', '127.0.0.1:9')
STREAMS = 8


def hear(entry, control, *records, change=1, content=DOCUMENT):
    """Receive the records from one of three control nodes."""
    news = News(
        feed=1,
        change=change,
        version=1,
        content=json.dumps(content).encode(),
        records=records,
        controls=CONTROLS,
        entries=1,
        silent=(),
    )
    entry._entry._messages.handle(control, 0, news)


@pytest.fixture
def entry():
    return Entry(free_address(), announces=False)


def begin(entry, number):
    """Begin streams one after the other, each of which is answered."""
    for stream in range(number):
        with gevent.Timeout(4.5):
            read_to_end(entry.open_stream(f's{stream}'))


def test_a_stream_begins_at_a_version_that_only_a_control_node_cut_off_knows(entry):
    old, new = ScriptedTarget(*[[rest()]] * 40), ScriptedTarget(*[[rest()]] * 40)
    for control in CONTROLS:
        hear(entry, control, announced('old', old))
    hear(entry, CONTROLS[2], announced('new', new, 'v2'), change=2)
    begin(entry, STREAMS)
    assert len(old.requests) >= STREAMS
    assert new.requests == []


def test_a_version_that_a_majority_knows_is_not_used(entry):
    old, new = ScriptedTarget(*[[rest()]] * 40), ScriptedTarget(*[[rest()]] * 40)
    for control in CONTROLS:
        hear(entry, control, announced('old', old))
    for control in CONTROLS[1:]:
        hear(entry, control, announced('new', new, 'v2'), change=2)
    begin(entry, STREAMS)
    assert new.requests


def test_no_stream_begins_as_the_only_version_is_not_established(entry):
    new = ScriptedTarget(*[[rest()]] * 40)
    hear(entry, CONTROLS[2], announced('new', new, 'v2'))
    begin(entry, 1)
    assert len(new.requests) == 1


def test_requests_that_are_never_resumed_wait_for_a_majority(entry):
    routes = [DOCUMENT['routes'][0] | {'stream_resume': False}]
    old, new = ScriptedTarget(*[[rest()]] * 40), ScriptedTarget(*[[rest()]] * 40)
    for control in CONTROLS:
        hear(
            entry, control, announced('old', old), content=DOCUMENT | {'routes': routes}
        )
    hear(entry, CONTROLS[2], announced('new', new, 'v2'), change=2)
    begin(entry, STREAMS)
    assert new.requests
