"""A caller that sends one request after the other."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from .attempt import Attempt, Outcome
from .documents import EXTRA_ROUTES_KEPT, timeout_s
from .exchange import exchange
from .http_stream import HttpStream
from .request_kind import RequestKind
from .wire import REFUSAL_STATUSES

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .history import History
    from .rotation import Rotation

CONNECT_TIMEOUT_S = 1.0
PAUSE_S = (0.05, 0.3)
NEW_CONNECTION_SHARE = 0.05
MAX_RETRIES = 3
RETRY_PAUSE_S = 0.1
EVENT_COUNTS = (4, 40)
# Streams of readers, which last from 3 to 6 s.
LONG_EVENT_COUNTS = (60, 120)
GIVE_UP_SHARE = 0.05
GIVE_UP_S = (0.2, 1.2)
KINDS = (
    (RequestKind.RESUMABLE_STREAM, 4),
    (RequestKind.ONCE_STREAM, 2),
    (RequestKind.SAFE, 3),
    (RequestKind.UNSAFE, 3),
    (RequestKind.MOVED, 2),
    (RequestKind.EXTRA, 2),
)


class Caller:
    """Sends requests over one connection, which it keeps until it is closed.

    `links` are the addresses at which entries are reached, `lifetime` counts an
    entry's starts, and `configuration` is the version sent last.
    """

    def __init__(
        self,
        *,
        name: str,
        customer: str,
        links: dict[str, str],
        rotation: Rotation,
        lifetime: Callable[[str], int],
        configuration: Callable[[], int],
        history: History,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._customer = customer
        self._links = links
        self._rotation = rotation
        self._lifetime = lifetime
        self._configuration = configuration
        self._history = history
        self._rng = rng
        self._number = 0
        self._stream: HttpStream | None = None
        self._entry = ''

    def run(self) -> None:
        """Send requests for ever."""
        kinds, weights = zip(*KINDS, strict=True)
        while True:
            gevent.sleep(self._rng.uniform(*PAUSE_S))
            if self._rng.random() < NEW_CONNECTION_SHARE:
                self._drop_connection()
            self._follow(self._new_attempt(self._rng.choices(kinds, weights)[0]))

    def read_long_stream(self) -> None:
        """Ask for one long stream, follow it to its end and leave."""
        kind = RequestKind.RESUMABLE_STREAM
        events = self._rng.randint(*LONG_EVENT_COUNTS)
        self._follow(self._attempt(kind, f'{kind.prefix}{self._name}/1/{events}'))
        self._drop_connection()

    def _follow(self, attempt: Attempt) -> None:
        """Send a request, and again on new connections while that is allowed."""
        self._send(attempt)
        for _ in range(MAX_RETRIES):
            retry = self._retry(attempt)
            if retry is None:
                return
            gevent.sleep(RETRY_PAUSE_S)
            self._drop_connection()
            self._send(retry)
            attempt = retry

    def _new_attempt(self, kind: RequestKind) -> Attempt:
        path, fields = kind.prefix, {}
        if kind is RequestKind.EXTRA:
            fields['configuration'] = self._extra_route()
            path += f'{fields["configuration"]}/'
        path += f'{self._name}/{self._number + 1}'
        if kind.is_stream:
            path += f'/{self._rng.randint(*EVENT_COUNTS)}'
            if self._rng.random() < GIVE_UP_SHARE:
                fields['gives_up_after_s'] = self._rng.uniform(*GIVE_UP_S)
        return self._attempt(kind, path, **fields)

    def _extra_route(self) -> int:
        """Return the number of an extra route, which may have been removed."""
        newest = self._configuration()
        return self._rng.randint(max(1, newest - EXTRA_ROUTES_KEPT), newest)

    def _attempt(self, kind: RequestKind, path: str, **fields: object) -> Attempt:
        self._number += 1
        return Attempt(
            request=f'{self._name}-{self._number}',
            kind=kind,
            path=path,
            entry='',
            customer=self._customer,
            deadline_s=timeout_s(kind),
            **fields,
        )

    def _retry(self, attempt: Attempt) -> Attempt | None:
        """Return the attempt that follows one which failed, if one may."""
        has_given_up = attempt.outcome is Outcome.GAVE_UP
        is_final = attempt.status in (400, 401, 404, 413, 431)
        if attempt.is_success or has_given_up or is_final:
            return None
        kind = attempt.kind
        is_refused = (
            attempt.outcome is Outcome.ANSWERED and attempt.status in REFUSAL_STATUSES
        )
        is_sent = attempt.outcome is not Outcome.NOT_SENT
        if is_sent and not is_refused and not kind.may_repeat:
            return None
        fields: dict[str, object] = {'configuration': attempt.configuration}
        if attempt.events:
            fields['root'] = attempt.root or attempt.request
            fields['last_event'] = attempt.events[-1].number
        elif attempt.root:
            fields['root'] = attempt.root
            fields['last_event'] = attempt.last_event
        return self._attempt(kind, attempt.path, **fields)

    def _send(self, attempt: Attempt) -> None:
        self._history.attempts.append(attempt)
        stream = self._connection()
        attempt.entry = self._entry
        attempt.lifetime = self._lifetime(self._entry)
        if stream is None:
            attempt.began_at = attempt.ended_at = time.monotonic()
            attempt.outcome = Outcome.NOT_SENT
            return
        if not exchange(stream, attempt):
            self._drop_connection()

    def _connection(self) -> HttpStream | None:
        if self._stream is not None and not self._stream.is_open():
            self._drop_connection()
        if self._stream is None:
            self._entry = self._rotation.pick(excluded=self._entry)
            try:
                self._stream = HttpStream.connect(
                    self._links[self._entry], CONNECT_TIMEOUT_S
                )
            except OSError:
                return None
        return self._stream

    def _drop_connection(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
