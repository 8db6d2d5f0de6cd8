"""Stand-in engine: the timing model behind an OpenAI-style HTTP API."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING

import attrs
import bottle
import gevent
import gevent.event

from ..engine.model import EngineModel, Stream
from ..engine.tokens import (
    answer_digest,
    answer_token,
    count_tokens,
    prefix_blocks,
)
from .cache import StandinCache
from .models import StandinModels

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .settings import StandinSettings

DEFAULT_OUTPUT_TOKENS = 64
STREAM_RETENTION_S = 30.0
CRASH_EXIT_STATUS = 70


@attrs.define(kw_only=True)
class _Completion:
    """A completion: its stream, its request and the state of its readers."""

    stream: Stream
    digest: str
    body: dict
    progressed: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    ended: bool = False
    cancelled: bool = False
    last_read_at: float = 0.0
    last_reader: int = 0


def prompt_of(body: dict) -> str:
    """Return the prompt of a chat or text completion request."""
    if 'messages' in body:
        return '\n'.join(
            f'{m.get("role")}: {m.get("content")}' for m in body['messages']
        )
    return str(body.get('prompt', ''))


class StandinEngine:
    """HTTP application of the stand-in engine."""

    def __init__(self, *, cfg: StandinSettings) -> None:
        self._cfg = cfg
        self._model = EngineModel(profile=cfg.profile)
        self._completions: dict[str, _Completion] = {}
        self._submitted = gevent.event.Event()
        self._last_number = 0
        self._models = StandinModels(cfg=cfg)
        self._cache = StandinCache(cfg=cfg, cache=self._model.cache)
        self._load_samples: list[tuple[float, dict]] = []
        self.app = bottle.Bottle()
        self.app.post('/v1/chat/completions', callback=self._complete)
        self.app.post('/v1/completions', callback=self._complete)
        self.app.get('/v1/streams/<name>', callback=self._resume)
        self.app.get('/load', callback=self._load)
        self._cache.attach(self.app)
        self._models.attach(self.app)
        self.app.get('/health', callback=lambda: {'status': 'ok'})

    def run(self) -> None:
        """Run the steps of the batch forever."""
        while True:
            duration = self._model.begin_step()
            if duration is None:
                self._submitted.clear()
                self._submitted.wait()
                continue
            gevent.sleep(duration)
            progresses = self._model.end_step()
            self._cache.publish()
            for progress in progresses:
                completion = self._completions.get(progress.name)
                if completion is not None:
                    completion.ended = progress.ended
                    completion.progressed.set()

    def _complete(self) -> Iterator[bytes] | dict:
        try:
            body = json.loads(bottle.request.body.read())
        except ValueError:
            return bottle.HTTPResponse({'error': {'code': 'bad_json'}}, status=400)
        if self._models.is_loading(body.get('model', '')):
            return bottle.HTTPResponse({'error': {'code': 'loading'}}, status=503)
        prompt = prompt_of(body)
        if self._cfg.crash_on and self._cfg.crash_on in prompt:
            os._exit(CRASH_EXIT_STATUS)
        self._last_number += 1
        name = f's{self._last_number}'
        profile = self._cfg.profile
        stream = Stream(
            name=name,
            blocks=prefix_blocks(prompt, profile.block_tokens),
            prompt_tokens=count_tokens(prompt),
            output_tokens=int(body.get('max_tokens') or DEFAULT_OUTPUT_TOKENS),
        )
        completion = _Completion(stream=stream, digest=answer_digest(prompt), body=body)
        self._completions[name] = completion
        self._model.submit(stream)
        self._submitted.set()
        bottle.response.set_header('X-Stream-Id', name)
        if body.get('stream'):
            bottle.response.content_type = 'text/event-stream'
            return self._events(completion, body, 0)
        return self._whole(completion, body)

    def _whole(self, completion: _Completion, body: dict) -> dict:
        while not completion.ended and not completion.cancelled:
            completion.progressed.wait()
            completion.progressed.clear()
        del self._completions[completion.stream.name]
        text = ''.join(
            answer_token(completion.digest, i)
            for i in range(completion.stream.produced)
        )
        usage = {
            'prompt_tokens': completion.stream.prompt_tokens,
            'completion_tokens': completion.stream.produced,
            'total_tokens': completion.stream.prompt_tokens
            + completion.stream.produced,
        }
        return self._document(body, completion, text, 'stop') | {'usage': usage}

    def _events(
        self, completion: _Completion, body: dict, offset: int
    ) -> Iterator[bytes]:
        """Yield the server-sent events from byte `offset` on."""
        sent = 0
        completion.last_reader += 1
        reader = completion.last_reader
        try:
            for data in self._all_events(completion, body):
                if sent + len(data) > offset:
                    yield data[max(0, offset - sent) :]
                sent += len(data)
        finally:
            completion.last_read_at = time.monotonic()
            # A reader detects late that its connection broke.  If another has
            # resumed the stream by then, the stream must not be cancelled.
            if not completion.ended and completion.last_reader == reader:
                self._model.cancel(completion.stream.name)
            self._drop_expired()

    def _all_events(self, completion: _Completion, body: dict) -> Iterator[bytes]:
        position = 0
        while True:
            while position < completion.stream.produced:
                token = answer_token(completion.digest, position)
                position += 1
                yield self._event(body, completion, token, None)
            if completion.ended:
                yield self._event(body, completion, '', 'stop')
                yield b'data: [DONE]\n\n'
                return
            completion.progressed.wait()
            completion.progressed.clear()

    def _event(
        self, body: dict, completion: _Completion, text: str, finish: str | None
    ) -> bytes:
        document = self._document(body, completion, text, finish, delta=True)
        return b'data: ' + json.dumps(document).encode() + b'\n\n'

    @staticmethod
    def _document(
        body: dict,
        completion: _Completion,
        text: str,
        finish: str | None,
        *,
        delta: bool = False,
    ) -> dict:
        choice: dict = {'index': 0, 'finish_reason': finish}
        chat = 'messages' in body
        if chat:
            key = 'delta' if delta else 'message'
            choice[key] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion' if chat else 'text_completion'
        return {
            'id': completion.stream.name,
            'object': kind + ('.chunk' if delta and chat else ''),
            'created': 0,
            'model': body.get('model', ''),
            'choices': [choice],
        }

    def _resume(self, name: str) -> Iterator[bytes] | dict:
        completion = self._completions.get(name)
        if completion is None:
            return bottle.HTTPResponse({'error': {'code': 'no_stream'}}, status=404)
        offset = int(bottle.request.query.get('offset', 0))
        if not completion.ended:
            self._model.cancel(name)
            self._model.submit(completion.stream)
            self._submitted.set()
        bottle.response.set_header('X-Stream-Id', name)
        bottle.response.content_type = 'text/event-stream'
        return self._events(completion, completion.body, offset)

    def _drop_expired(self) -> None:
        cutoff = time.monotonic() - STREAM_RETENTION_S
        for name, completion in list(self._completions.items()):
            if completion.last_read_at and completion.last_read_at < cutoff:
                del self._completions[name]

    def _load(self) -> dict:
        """Return the load of `report_lag_s` ago and the current token counts."""
        now = time.monotonic()
        current = {'running': self._model.running, 'waiting': self._model.waiting}
        self._load_samples.append((now, current))
        old_loads = [
            load
            for at, load in self._load_samples
            if at <= now - self._cfg.report_lag_s
        ]
        self._load_samples = self._load_samples[-50:]
        return (old_loads[-1] if old_loads else {'running': 0, 'waiting': 0}) | {
            'prefill_tokens': self._model.prefill_tokens,
            'cached_tokens': self._model.cached_tokens,
        }
