from __future__ import annotations

import gevent.queue

from pistachiopath.claims.effects import Conclude, Deliver
from pistachiopath.entry.http import _Stream
from pistachiopath.errors.outcomes import Completed, Unknown


class FakeShell:
    def __init__(self):
        self.outcomes = []

    def finished(self, call, outcome):
        self.outcomes.append(outcome)

    def leave(self, call):
        pass


class FakeCall:
    class parsed:  # noqa: N801
        request_id = 'r'

    def __init__(self, effects):
        self.effects = gevent.queue.Queue()
        for effect in effects:
            self.effects.put(effect)


def part(data):
    return Deliver(status=200, content_type='text', data=data)


def stream(effects):
    shell = FakeShell()
    first, *rest = effects
    return list(_Stream(call=FakeCall(rest), shell=shell, first=first)), shell


def test_parts_that_wait_are_written_at_once():
    done = Conclude(outcome=Completed(status=200, content_type='text', length=6))
    written, shell = stream([part(b'ab'), part(b'cd'), part(b'ef'), done])
    assert written == [b'abcdef']
    assert shell.outcomes == ['completed']


def test_what_ends_a_stream_comes_after_its_parts():
    lost = Conclude(outcome=Unknown(reason='target_silent'))
    written, shell = stream([part(b'ab'), part(b'cd'), lost])
    assert written[0] == b'abcd'
    assert b'"type": "unknown"' in written[1]
    assert shell.outcomes == ['unknown']
