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
REQUEST_TIMEOUT_S = 300.0
MAX_CONNECTIONS = 256


class Caller:
    """Sends requests to several entries in turn, as a load balancer would."""

    def __init__(self, *, entries: tuple[str, ...], key_prefix: str) -> None:
        self._entries = entries
        self._key_prefix = key_prefix
        self._http = urllib3.PoolManager(
            retries=False, timeout=REQUEST_TIMEOUT_S, maxsize=MAX_CONNECTIONS
        )

    def run_plan(
        self, plan: list[Arrival], on_result: Callable[[Result], None]
    ) -> list[Result]:
        """Send each request at its arrival time; return the results in that order."""
        started_at = time.monotonic()
        group = gevent.pool.Group()
        greenlets = []
        for arrival in plan:
            gevent.sleep(max(0.0, started_at + arrival.at - time.monotonic()))
            greenlets.append(group.spawn(self._send_request, arrival, on_result))
        group.join()
        return [greenlet.get() for greenlet in greenlets]

    def _send_request(
        self, arrival: Arrival, on_result: Callable[[Result], None]
    ) -> Result:
        try:
            result = (
                self._call_service(arrival)
                if arrival.kind.service
                else (self._request_completion(arrival))
            )
        except urllib3.exceptions.HTTPError as exc:
            result = _failed_result(arrival, type(exc).__name__)
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

    def _entry_url(self, arrival: Arrival) -> str:
        return f'http://{self._entries[arrival.number % len(self._entries)]}'

    def _call_service(self, arrival: Arrival) -> Result:
        kind = arrival.kind
        started_at = time.monotonic()
        url = f'{self._entry_url(arrival)}/services/{kind.service}{kind.path}'
        body = json.dumps({'number': arrival.number})
        response = self._http.request(
            kind.method,
            f'{url}?number={arrival.number}' if kind.method == 'GET' else url,
            body=None if kind.method == 'GET' else body,
            headers=self._headers(arrival),
        )
        elapsed_s = time.monotonic() - started_at
        is_correct = False
        if response.status == 200:  # noqa: PLR2004
            answer = response.json()
            expected = {'number': str(arrival.number)}
            is_correct = answer.get('echo') == body or answer.get('query') == expected
        return Result(
            arrival=arrival,
            status=response.status,
            outcome='completed' if is_correct else _error_type(response.data),
            is_correct=is_correct,
            first_byte_s=elapsed_s,
            total_s=elapsed_s,
        )

    def _request_completion(self, arrival: Arrival) -> Result:
        prompt = arrival.prompt()
        body = {
            'model': arrival.kind.work,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': arrival.output_tokens,
            'stream': True,
        }
        started_at = time.monotonic()
        response = self._http.request(
            'POST',
            f'{self._entry_url(arrival)}/v1/chat/completions',
            body=json.dumps(body),
            headers=self._headers(arrival),
            preload_content=False,
        )
        data = response.read1()
        time_to_first_byte_s = time.monotonic() - started_at
        remaining_data = response.read()
        response.release_conn()
        data += remaining_data
        text, is_complete = _parse_event_stream(data)
        is_correct = is_complete and text == answer_text(
            f'user: {prompt}', arrival.output_tokens
        )
        return Result(
            arrival=arrival,
            status=response.status,
            outcome='completed' if is_correct else _error_type(data),
            is_correct=is_correct,
            first_byte_s=time_to_first_byte_s,
            total_s=time.monotonic() - started_at,
            tokens=arrival.output_tokens if is_correct else 0,
        )


def _parse_event_stream(data: bytes) -> tuple[str, bool]:
    """Return the text of an event stream and whether its end marker was received."""
    parts = []
    for event in data.split(b'\n\n'):
        payload = event.removeprefix(b'data: ')
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
        answer = json.loads(data.split(b'data: ')[-1])
        return answer['error']['type']
    except (ValueError, KeyError, TypeError):
        return 'broken'


def _failed_result(arrival: Arrival, outcome: str) -> Result:
    return Result(
        arrival=arrival,
        status=0,
        outcome=outcome,
        is_correct=False,
        first_byte_s=0.0,
        total_s=0.0,
    )
