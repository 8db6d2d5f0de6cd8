"""Parses and checks callers' HTTP requests."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import attrs

from ..claims.identity import (
    claim_key,
    dated_ms,
    fingerprint,
    make_request_id,
)
from ..claims.submission import Submission
from ..engine.tokens import BYTES_PER_TOKEN
from ..errors.admission import BadRequest
from ..messages.dispatch import Work
from ..routing.prefix import prefix_chunks

if TYPE_CHECKING:
    from ..admission.rules import Rules
    from ..configuration.configuration import Customer, WorkClass

MAX_REQUEST_ID_CHARS = 200
MAX_OUTPUT_TOKENS = 1_000_000
ID_RANDOM_BYTES = 10
ATTEMPT_ID_BYTES = 8


@attrs.define(kw_only=True, frozen=True)
class CallerHeaders:
    """The headers of a caller's request that the entry uses."""

    authorization: str = ''
    request_id: str = ''
    deadline_ms: str = ''
    content_type: str = 'application/json'
    traceparent: str = ''


@attrs.define(kw_only=True, frozen=True)
class ParsedRequest:
    """A submission, and what the HTTP response needs."""

    submission: Submission
    request_id: str
    tier: str
    streams: bool


class RequestParser:
    """Checks requests against the configuration; raises `BadRequest`."""

    def __init__(self, *, rules: Rules) -> None:
        self._rules = rules

    def customer(self, headers: CallerHeaders, now: float) -> Customer:
        """Return a request's customer and count the request against their limit."""
        scheme, _, key = headers.authorization.partition(' ')
        if scheme.lower() != 'bearer' or not key:
            raise BadRequest(
                code='unauthenticated',
                detail='Authorization: Bearer <key> is missing',
                http_status=401,
            )
        customer = self._rules.customer(key.strip())
        self._rules.limit(customer, now)
        return customer

    def completion(
        self,
        path: str,
        body: bytes,
        headers: CallerHeaders,
        now: float,
        unix_time_ms: int,
    ) -> ParsedRequest:
        """Return a parsed completion request."""
        customer = self.customer(headers, now)
        document = _json_object(body)
        name = document.get('model')
        if not isinstance(name, str):
            raise BadRequest(code='bad_request', detail='model must be a string')
        work_class = self._rules.model_work(name)
        output_tokens = document.setdefault('max_tokens', work_class.output_tokens)
        if type(output_tokens) is not int or not (
            0 < output_tokens <= MAX_OUTPUT_TOKENS
        ):
            raise BadRequest(
                code='bad_request', detail='max_tokens must be a positive integer'
            )
        document['model'] = work_class.model
        work = Work(
            path=path,
            model=work_class.model,
            body=json.dumps(document).encode(),
            prompt_tokens=max(1, len(body) // BYTES_PER_TOKEN),
            output_tokens=output_tokens,
        )
        parsed = self._parsed_request(
            work, work_class, customer, path, body, headers, now, unix_time_ms
        )
        prompt = document.get('messages') or document.get('prompt')
        prefix = prefix_chunks(json.dumps(prompt).encode())
        submission = attrs.evolve(parsed.submission, prefix=prefix)
        return attrs.evolve(
            parsed, submission=submission, streams=document.get('stream') is True
        )

    def service(
        self,
        service: str,
        path: str,
        method: str,
        query: str,
        body: bytes,
        headers: CallerHeaders,
        now: float,
        unix_time_ms: int,
    ) -> ParsedRequest:
        """Return a parsed request to a plain service."""
        customer = self.customer(headers, now)
        work_class = self._rules.service_work(service, path)
        work = Work(
            path=path + (f'?{query}' if query else ''),
            method=method,
            model=service,
            content_type=headers.content_type,
            body=body,
            prompt_tokens=0,
            output_tokens=0,
        )
        identity = f'{method} {service} {work.path}'
        return self._parsed_request(
            work, work_class, customer, identity, body, headers, now, unix_time_ms
        )

    def _parsed_request(
        self,
        work: Work,
        work_class: WorkClass,
        customer: Customer,
        identity: str,
        body: bytes,
        headers: CallerHeaders,
        now: float,
        unix_time_ms: int,
    ) -> ParsedRequest:
        tier = self._rules.configuration.tier(work_class.tier)
        named = bool(headers.request_id)
        request_id = headers.request_id or make_request_id(
            unix_time_ms, os.urandom(ID_RANDOM_BYTES)
        )
        self._check_request_id(request_id, work_class)
        work = attrs.evolve(
            work,
            customer=customer.name,
            tier=tier.rank,
            promised=tier.promised,
            once=not work_class.idempotent,
            traceparent=headers.traceparent,
        )
        deadline_s = work_class.deadline_s or tier.deadline_s
        submission = Submission(
            key=claim_key(customer.name, request_id),
            fingerprint=fingerprint(customer.name, identity, body),
            attempt=os.urandom(ATTEMPT_ID_BYTES),
            named=named,
            work=work,
            submitted_at=now,
            deadline=now + _effective_deadline_s(deadline_s, headers.deadline_ms),
            dated_ms=dated_ms(request_id),
        )
        return ParsedRequest(
            submission=submission,
            request_id=request_id,
            tier=tier.name,
            streams=False,
        )

    @staticmethod
    def _check_request_id(request_id: str, work_class: WorkClass) -> None:
        if len(request_id) > MAX_REQUEST_ID_CHARS or not request_id.isprintable():
            raise BadRequest(
                code='bad_request_id',
                detail=f'at most {MAX_REQUEST_ID_CHARS} printable characters',
            )
        if not work_class.idempotent and not dated_ms(request_id):
            raise BadRequest(
                code='undated_request_id',
                detail='non-idempotent work needs a version 7 UUID as its id',
            )


def _json_object(body: bytes) -> dict:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise BadRequest(code='bad_json', detail='the body is not JSON') from exc
    if not isinstance(document, dict):
        raise BadRequest(code='bad_json', detail='the body is not a JSON object')
    return document


def _effective_deadline_s(deadline_s: float, header: str) -> float:
    """Return the deadline in seconds, which a caller may only shorten."""
    if not header:
        return deadline_s
    if not header.isascii() or not header.isdigit():
        raise BadRequest(
            code='bad_deadline', detail='deadline must be a number of milliseconds'
        )
    return min(deadline_s, int(header) / 1000)
