"""HTTP application for callers."""

from __future__ import annotations

import json
import math
import time
from typing import TYPE_CHECKING

import bottle

from ..claims.effects import Conclude, Deliver
from ..errors.admission import BadRequest
from ..errors.outcomes import Completed, Expired, Refused, Unknown
from ..exchange.request_memory import process_memory
from .body_reader import read_body
from .requests import CallerHeaders, RequestParser

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..errors.outcomes import Outcome
    from ..exchange.request_memory import HeldMemory
    from .requests import ParsedRequest
    from .settings import EntrySettings
    from .shell import Call, EntryShell

REQUEST_ID_HEADER = 'Pistachiopath-Request-Id'
DEADLINE_HEADER = 'Pistachiopath-Deadline-Ms'
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'
NOT_SERVING_RETRY_MS = 1000


class CallerApp:
    """Routes of an entry: completions, plain services, models and health."""

    def __init__(self, *, cfg: EntrySettings, shell: EntryShell) -> None:
        self._cfg = cfg
        self._shell = shell
        self.app = bottle.Bottle(catchall=True)
        for path in ('/v1/chat/completions', '/v1/completions'):
            self.app.post(path, callback=self._completion)
        self.app.route(
            '/services/<service>/<path:path>',
            method=['GET', 'POST', 'PUT', 'DELETE'],
            callback=self._service,
        )
        self.app.get('/v1/models', callback=self._models)
        self.app.get('/healthz', callback=self._health)
        self.app.get('/metrics', callback=self._metrics)
        self.app.default_error_handler = _default_error

    # Routes

    def _completion(self) -> bottle.HTTPResponse | Iterator[bytes]:
        path = bottle.request.path
        return self._answer(
            lambda parser, body, headers: parser.completion(
                path, body, headers, time.monotonic(), _unix_time_ms()
            )
        )

    def _service(
        self, service: str, path: str
    ) -> bottle.HTTPResponse | Iterator[bytes]:
        request = bottle.request
        return self._answer(
            lambda parser, body, headers: parser.service(
                service,
                f'/{path}',
                request.method,
                request.query_string,
                body,
                headers,
                time.monotonic(),
                _unix_time_ms(),
            )
        )

    def _models(self) -> bottle.HTTPResponse:
        try:
            parser = self._parser()
            parser.customer(_headers(), time.monotonic())
        except BadRequest as exc:
            return _bad_request(exc)
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'pistachiopath'}
            for name in self._shell.rules.model_names()
        ]
        return _json({'object': 'list', 'data': models}, 200)

    def _health(self) -> bottle.HTTPResponse:
        ready = self._shell.rules is not None and not self._shell.draining
        document = {
            'ready': ready,
            'draining': self._shell.draining,
            'revision': self._shell.core.revision,
            'in_flight': self._shell.core.in_flight,
        }
        return _json(document, 200 if ready else 503)

    def _metrics(self) -> str:
        bottle.response.content_type = METRICS_CONTENT_TYPE
        process_memory.report(self._shell.metrics)
        return self._shell.render_metrics() + '\n'

    # Answers

    def _answer(self, parse) -> bottle.HTTPResponse | Iterator[bytes]:  # noqa: ANN001
        held = process_memory.hold(_ignore)
        answer: object = None
        try:
            parser = self._parser()
            parsed = parse(parser, self._body(held), _headers())
            call = self._shell.submit(parsed)
            if parsed.streams:
                answer = self._answer_streamed(call, held)
            else:
                answer = self._answer_whole(call)
            return answer
        except BadRequest as exc:
            return _bad_request(exc)
        finally:
            if not isinstance(answer, _StreamedAnswer):
                held.release()

    def _answer_whole(self, call: Call) -> bottle.HTTPResponse:
        parts: list[Deliver] = []
        try:
            effect = call.effects.get()
            while isinstance(effect, Deliver):
                parts.append(effect)
                effect = call.effects.get()
            return self._final_response(call, effect.outcome, parts)
        finally:
            self._shell.close_call(call)

    def _final_response(
        self, call: Call, outcome: Outcome, parts: list[Deliver]
    ) -> bottle.HTTPResponse:
        self._shell.record_outcome(call, outcome.kind)
        if not isinstance(outcome, Completed):
            return _outcome_response(outcome, call.parsed)
        response = bottle.HTTPResponse(
            b''.join(part.data for part in parts), status=outcome.status
        )
        response.content_type = outcome.content_type or 'application/octet-stream'
        response.set_header(REQUEST_ID_HEADER, call.parsed.request_id)
        return response

    def _answer_streamed(
        self, call: Call, held: HeldMemory
    ) -> bottle.HTTPResponse | Iterator[bytes]:
        effect = call.effects.get()
        if isinstance(effect, Conclude):
            try:
                return self._final_response(call, effect.outcome, [])
            finally:
                self._shell.close_call(call)
        bottle.response.status = effect.status
        bottle.response.content_type = effect.content_type
        bottle.response.set_header(REQUEST_ID_HEADER, call.parsed.request_id)
        return _StreamedAnswer(call=call, shell=self._shell, first=effect, held=held)

    # Requests

    def _parser(self) -> RequestParser:
        if self._shell.rules is None or self._shell.draining:
            code = 'stopping' if self._shell.draining else 'no_configuration'
            raise BadRequest(
                code=code,
                detail='this entry serves nothing now',
                http_status=503,
                retry_after_ms=NOT_SERVING_RETRY_MS,
            )
        return RequestParser(rules=self._shell.rules)

    def _body(self, held: HeldMemory) -> bytes:
        environ = bottle.request.environ
        is_chunked = 'HTTP_TRANSFER_ENCODING' in environ
        return read_body(
            environ['wsgi.input'],
            stated=None if is_chunked else max(0, bottle.request.content_length),
            limit=self._cfg.max_body_bytes,
            held=held,
        )


class _StreamedAnswer:
    """Iterates over the parts of an answer; the WSGI server calls `close`."""

    def __init__(
        self, *, call: Call, shell: EntryShell, first: Deliver, held: HeldMemory
    ) -> None:
        self._held = held
        self._call = call
        self._shell = shell
        self._next_effect: Deliver | Conclude | None = first
        self._ended = False

    def __iter__(self) -> _StreamedAnswer:
        return self

    def __next__(self) -> bytes:
        if self._ended:
            raise StopIteration
        effect = self._next_effect or self._call.effects.get()
        self._next_effect = None
        if isinstance(effect, Deliver):
            return self._join_queued(effect)
        self._ended = True
        outcome = effect.outcome
        self._shell.record_outcome(self._call, outcome.kind)
        if isinstance(outcome, Completed):
            raise StopIteration
        document = _error_document(outcome, self._call.parsed.request_id)
        return b'data: ' + json.dumps(document).encode() + b'\n\n'

    def _join_queued(self, effect: Deliver) -> bytes:
        """Return the queued parts, joined so that they take one write."""
        parts = [effect.data]
        effects = self._call.effects
        while self._next_effect is None and not effects.empty():
            next_effect = effects.get_nowait()
            if isinstance(next_effect, Deliver):
                parts.append(next_effect.data)
            else:
                self._next_effect = next_effect
        return b''.join(parts)

    def close(self) -> None:
        """Close the call, also if the caller disconnected."""
        self._held.release()
        self._shell.close_call(self._call)


def _ignore() -> None:
    """Leave a refusal to the next piece of the body."""


def _unix_time_ms() -> int:
    return int(time.time() * 1000)


def _headers() -> CallerHeaders:
    request = bottle.request
    return CallerHeaders(
        authorization=request.get_header('Authorization', ''),
        request_id=request.get_header('Idempotency-Key', ''),
        deadline_ms=request.get_header(DEADLINE_HEADER, ''),
        content_type=request.content_type or 'application/json',
        traceparent=request.get_header('traceparent', ''),
    )


def _json(document: dict, status: int) -> bottle.HTTPResponse:
    response = bottle.HTTPResponse(json.dumps(document), status=status)
    response.content_type = 'application/json'
    return response


def _set_retry_after(response: bottle.HTTPResponse, retry_after_ms: int) -> None:
    seconds = max(1, math.ceil(retry_after_ms / 1000))
    response.set_header('Retry-After', str(seconds))
    response.set_header('Retry-After-Ms', str(retry_after_ms))


def _bad_request(exc: BadRequest) -> bottle.HTTPResponse:
    error = {
        'type': 'rejected',
        'code': exc.code,
        'message': exc.detail,
        'ran': exc.ran(named=bool(_headers().request_id)),
    }
    response = _json({'error': error}, exc.http_status)
    if exc.retry_after_ms:
        _set_retry_after(response, exc.retry_after_ms)
    return response


def _error_document(outcome: Outcome, request_id: str) -> dict:
    error = {
        'type': str(outcome.kind),
        'code': outcome.reason,
        'message': f'{outcome.kind}: {outcome.reason}',
        'ran': outcome.ran,
        'request_id': request_id,
    }
    if isinstance(outcome, (Refused, Expired)):
        error['retry_after_ms'] = outcome.retry_after_ms
    return {'error': error}


def _outcome_response(outcome: Outcome, parsed: ParsedRequest) -> bottle.HTTPResponse:
    document = _error_document(outcome, parsed.request_id)
    response = _json(document, outcome.http_status)
    response.set_header(REQUEST_ID_HEADER, parsed.request_id)
    if isinstance(outcome, (Refused, Expired)):
        _set_retry_after(response, outcome.retry_after_ms)
    if isinstance(outcome, Unknown):
        # The request may have run, so a client library must not resend it
        # automatically as a new request.
        response.set_header('X-Should-Retry', 'false')
    return response


def _default_error(error: bottle.HTTPError) -> str:
    bottle.response.content_type = 'application/json'
    document = {
        'type': 'rejected',
        'code': f'http_{error.status_code}',
        'message': str(error.body),
        'ran': 'no',
    }
    return json.dumps({'error': document})
