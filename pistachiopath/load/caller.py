"""Sends the requests of a plan and checks every answer."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING

import gevent
import gevent.pool
import urllib3

from ..claims.identity import make_request_id
from ..engine.tokens import answer_text
from .result import Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from .plan import Arrival

ID_RANDOM_BYTES = 10
TIMEOUT_S = 300.0
MAX_CONNECTIONS = 256


class Caller:
    """Plays callers against several entries, as their balancer would."""

    def __init__(self, *, entries: tuple[str, ...], key_prefix: str) -> None:
        self._entries = entries
        self._key_prefix = key_prefix
        self._http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=MAX_CONNECTIONS
        )

    def play(
        self, plan: list[Arrival], on_result: Callable[[Result], None]
    ) -> list[Result]:
        """Send each arrival at its time; return the results in that order."""
        began = time.monotonic()
        group = gevent.pool.Group()
        greenlets = []
        for arrival in plan:
            gevent.sleep(max(0.0, began + arrival.at - time.monotonic()))
            greenlets.append(group.spawn(self._one, arrival, on_result))
        group.join()
        return [greenlet.get() for greenlet in greenlets]

    def _one(self, arrival: Arrival, on_result: Callable[[Result], None]) -> Result:
        try:
            result = (
                self._service(arrival)
                if arrival.kind.service
                else (self._completion(arrival))
            )
        except urllib3.exceptions.HTTPError as exc:
            result = _failed(arrival, type(exc).__name__)
        on_result(result)
        return result

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        request_id = make_request_id(
            int(time.time() * 1000), os.urandom(ID_RANDOM_BYTES)
        )
        return {
            'Authorization': f'Bearer {self._key_prefix}{arrival.customer}',
            'Content-Type': 'application/json',
            'Idempotency-Key': request_id,
        }

    def _base(self, arrival: Arrival) -> str:
        return f'http://{self._entries[arrival.number % len(self._entries)]}'

    def _service(self, arrival: Arrival) -> Result:
        kind = arrival.kind
        began = time.monotonic()
        url = f'{self._base(arrival)}/services/{kind.service}{kind.path}'
        body = json.dumps({'number': arrival.number})
        response = self._http.request(
            kind.method,
            f'{url}?number={arrival.number}' if kind.method == 'GET' else url,
            body=None if kind.method == 'GET' else body,
            headers=self._headers(arrival),
        )
        took = time.monotonic() - began
        whole = False
        if response.status == 200:  # noqa: PLR2004
            document = response.json()
            expected = {'number': str(arrival.number)}
            whole = document.get('echo') == body or document.get('query') == expected
        return Result(
            arrival=arrival,
            status=response.status,
            outcome='completed' if whole else _error_type(response.data),
            whole=whole,
            first_byte_s=took,
            total_s=took,
        )

    def _completion(self, arrival: Arrival) -> Result:
        prompt = arrival.prompt()
        body = {
            'model': arrival.kind.work,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': arrival.output_tokens,
            'stream': True,
        }
        began = time.monotonic()
        response = self._http.request(
            'POST',
            f'{self._base(arrival)}/v1/chat/completions',
            body=json.dumps(body),
            headers=self._headers(arrival),
            preload_content=False,
        )
        data = response.read1()
        first = time.monotonic() - began
        rest = response.read()
        response.release_conn()
        data += rest
        text, ended = _text_of(data)
        whole = ended and text == answer_text(f'user: {prompt}', arrival.output_tokens)
        return Result(
            arrival=arrival,
            status=response.status,
            outcome='completed' if whole else _error_type(data),
            whole=whole,
            first_byte_s=first,
            total_s=time.monotonic() - began,
            tokens=arrival.output_tokens if whole else 0,
        )


def _text_of(data: bytes) -> tuple[str, bool]:
    """Return the text of an event stream and whether it came to its end."""
    parts = []
    for line in data.split(b'\n\n'):
        payload = line.removeprefix(b'data: ')
        if payload == b'[DONE]':
            return ''.join(parts), True
        try:
            choices = json.loads(payload).get('choices', [])
        except ValueError:
            continue
        parts += [choice['delta'].get('content', '') for choice in choices]
    return ''.join(parts), False


def _error_type(data: bytes) -> str:
    try:
        document = json.loads(data.split(b'data: ')[-1])
        return document['error']['type']
    except (ValueError, KeyError, TypeError):
        return 'broken'


def _failed(arrival: Arrival, outcome: str) -> Result:
    return Result(
        arrival=arrival,
        status=0,
        outcome=outcome,
        whole=False,
        first_byte_s=0.0,
        total_s=0.0,
    )
