"""Sends one request of a caller and records what comes back."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import gevent

from . import wire
from .attempt import Attempt, EventSeen, Outcome
from .documents import KEYS, STREAM_TOKENS
from .http_stream import BadMessage, CutOff, HttpStream, head_bytes
from .topology import HOST

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .http_stream import Head

# A caller waits this much longer than the deadline that it states.
PATIENCE_S = 2.0
BODY = b'a body that no entry changes'
EVENT_END = b'\n\n'


class _TooLate(Exception):
    """The caller's patience has ended."""


def exchange(stream: HttpStream, attempt: Attempt) -> bool:
    """Send an attempt and read its response into it.

    Returns whether another request may follow on the connection.
    """
    attempt.began_at = time.monotonic()
    try:
        with gevent.Timeout(_patience_s(attempt), _TooLate()):
            _send(stream, attempt)
            return _receive(stream, attempt)
    except _TooLate:
        attempt.outcome = _outcome_too_late(attempt)
    except BadMessage:
        attempt.outcome = Outcome.GARBLED
    except (OSError, CutOff):
        is_sent = attempt.sent_at <= time.monotonic()
        attempt.outcome = Outcome.CUT if is_sent else Outcome.NOT_SENT
    finally:
        attempt.ended_at = time.monotonic()
    return False


def _patience_s(attempt: Attempt) -> float:
    return min(attempt.deadline_s + PATIENCE_S, attempt.gives_up_after_s)


def _outcome_too_late(attempt: Attempt) -> Outcome:
    if attempt.sent_at > time.monotonic():
        return Outcome.NOT_SENT
    has_given_up = attempt.gives_up_after_s < math.inf
    return Outcome.GAVE_UP if has_given_up else Outcome.TIMED_OUT


def _send(stream: HttpStream, attempt: Attempt) -> None:
    headers = [
        ('Host', HOST),
        (wire.REQUEST_ID, attempt.request),
        (wire.DEADLINE_MS, str(int(attempt.deadline_s * 1000))),
        (wire.AUTHORIZATION, wire.KEY_SCHEME + KEYS[attempt.customer]),
        ('Content-Length', str(len(BODY))),
    ]
    if attempt.is_stream:
        headers += [
            (wire.MODEL, 'm'),
            (wire.TOKEN_COUNTS, ','.join(map(str, STREAM_TOKENS))),
            (wire.PROMPT_PARTS, f'5c1e07a2:100,{attempt.root or attempt.request}:100'),
        ]
    if attempt.last_event is not None:
        headers.append((wire.LAST_EVENT, str(attempt.last_event)))
    if attempt.root:
        headers.append((wire.RESUMES, attempt.root))
    stream.write(head_bytes(f'POST {attempt.path} HTTP/1.1', headers) + BODY)
    attempt.sent_at = time.monotonic()


def _receive(stream: HttpStream, attempt: Attempt) -> bool:
    head = stream.read_head()
    if head is None:
        raise CutOff('before the response')
    attempt.head_at = time.monotonic()
    attempt.status = head.status
    attempt.signature = head.get(wire.SIGNATURE)
    attempt.echoed = head.get(wire.REQUEST_ID)
    attempt.is_leaving = head.get(wire.LEAVING) == '1'
    parts = stream.read_body(head, until_end=True)
    if attempt.is_stream and 200 <= attempt.status < 300:
        _receive_events(parts, attempt)
    else:
        attempt.body = b''.join(parts).decode('latin-1')
    attempt.outcome = Outcome.ANSWERED
    return _is_kept(head) and not stream.has_held_bytes


def _receive_events(parts: Iterable[bytes], attempt: Attempt) -> None:
    """Record whole events; raises `CutOff` if the stream ends within one."""
    held = b''
    for part in parts:
        *events, held = (held + part).split(EVENT_END)
        attempt.events += [parse_event(event.decode('latin-1')) for event in events]
    if held:
        raise CutOff('within an event')


def parse_event(text: str) -> EventSeen:
    """Return an event; raises `BadMessage` if it is none of a replica's."""
    lines = dict(line.partition(': ')[::2] for line in text.split('\n'))
    path, _, version = lines.get('data', '').partition(' ')
    if not lines.get('id', '').isdigit() or not version:
        raise BadMessage(text[:80])
    return EventSeen(number=int(lines['id']), text=path, version=version)


def _is_kept(head: Head) -> bool:
    has_end = head.get('content-length') or head.get('transfer-encoding')
    return bool(has_end) and 'close' not in head.get('connection').lower()
