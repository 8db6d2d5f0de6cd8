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
    answer_word,
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
CRASH_STATUS = 70


@attrs.define(kw_only=True)
class _Live:
    """A stream and what its reader needs."""

    stream: Stream
    digest: str
    body: dict
    changed: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    ended: bool = False
    cancelled: bool = False
    touched_at: float = 0.0
    reader: int = 0


def prompt_of(body: dict) -> str:
    """Return the prompt of either kind of completion request."""
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
        self._live: dict[str, _Live] = {}
        self._wake = gevent.event.Event()
        self._last = 0
        self._models = StandinModels(cfg=cfg)
        self._cache = StandinCache(cfg=cfg, cache=self._model.cache)
        self._loads: list[tuple[float, dict]] = []
        self.app = bottle.Bottle()
        self.app.post('/v1/chat/completions', callback=self._complete)
        self.app.post('/v1/completions', callback=self._complete)
        self.app.get('/v1/streams/<name>', callback=self._resume)
        self.app.get('/load', callback=self._load)
        self._cache.attach(self.app)
        self._models.attach(self.app)
        self.app.get('/health', callback=lambda: {'status': 'ok'})

    def run(self) -> None:
        """Step the batch for ever."""
        while True:
            duration = self._model.begin_step()
            if duration is None:
                self._wake.clear()
                self._wake.wait()
                continue
            gevent.sleep(duration)
            progresses = self._model.end_step()
            self._cache.publish()
            for progress in progresses:
                live = self._live.get(progress.name)
                if live is not None:
                    live.ended = progress.ended
                    live.changed.set()

    def _complete(self) -> Iterator[bytes] | dict:
        try:
            body = json.loads(bottle.request.body.read())
        except ValueError:
            return bottle.HTTPResponse({'error': {'code': 'bad_json'}}, status=400)
        if self._models.is_loading(body.get('model', '')):
            return bottle.HTTPResponse({'error': {'code': 'loading'}}, status=503)
        prompt = prompt_of(body)
        if self._cfg.crash_on and self._cfg.crash_on in prompt:
            os._exit(CRASH_STATUS)
        self._last += 1
        name = f's{self._last}'
        profile = self._cfg.profile
        stream = Stream(
            name=name,
            blocks=prefix_blocks(prompt, profile.block_tokens),
            prompt_tokens=count_tokens(prompt),
            output_tokens=int(body.get('max_tokens') or DEFAULT_OUTPUT_TOKENS),
        )
        live = _Live(stream=stream, digest=answer_digest(prompt), body=body)
        self._live[name] = live
        self._model.submit(stream)
        self._wake.set()
        bottle.response.set_header('X-Stream-Id', name)
        if body.get('stream'):
            bottle.response.content_type = 'text/event-stream'
            return self._events(live, body, 0)
        return self._whole(live, body)

    def _whole(self, live: _Live, body: dict) -> dict:
        while not live.ended and not live.cancelled:
            live.changed.wait()
            live.changed.clear()
        del self._live[live.stream.name]
        text = ''.join(answer_word(live.digest, i) for i in range(live.stream.produced))
        usage = {
            'prompt_tokens': live.stream.prompt_tokens,
            'completion_tokens': live.stream.produced,
            'total_tokens': live.stream.prompt_tokens + live.stream.produced,
        }
        return self._document(body, live, text, 'stop') | {'usage': usage}

    def _events(self, live: _Live, body: dict, skip: int) -> Iterator[bytes]:
        """Yield the server-sent events from byte `skip` on."""
        sent = 0
        live.reader += 1
        reader = live.reader
        try:
            for data in self._all_events(live, body):
                if sent + len(data) > skip:
                    yield data[max(0, skip - sent) :]
                sent += len(data)
        finally:
            live.touched_at = time.monotonic()
            # A reader whose connection broke notices late: by then another
            # may have resumed the stream.
            if not live.ended and live.reader == reader:
                self._model.cancel(live.stream.name)
            self._forget_old()

    def _all_events(self, live: _Live, body: dict) -> Iterator[bytes]:
        position = 0
        while True:
            while position < live.stream.produced:
                word = answer_word(live.digest, position)
                position += 1
                yield self._event(body, live, word, None)
            if live.ended:
                yield self._event(body, live, '', 'stop')
                yield b'data: [DONE]\n\n'
                return
            live.changed.wait()
            live.changed.clear()

    def _event(self, body: dict, live: _Live, text: str, finish: str | None) -> bytes:
        document = self._document(body, live, text, finish, delta=True)
        return b'data: ' + json.dumps(document).encode() + b'\n\n'

    @staticmethod
    def _document(
        body: dict,
        live: _Live,
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
            'id': live.stream.name,
            'object': kind + ('.chunk' if delta and chat else ''),
            'created': 0,
            'model': body.get('model', ''),
            'choices': [choice],
        }

    def _resume(self, name: str) -> Iterator[bytes] | dict:
        live = self._live.get(name)
        if live is None:
            return bottle.HTTPResponse({'error': {'code': 'no_stream'}}, status=404)
        offset = int(bottle.request.query.get('offset', 0))
        if not live.ended:
            self._model.cancel(name)
            self._model.submit(live.stream)
            self._wake.set()
        bottle.response.set_header('X-Stream-Id', name)
        bottle.response.content_type = 'text/event-stream'
        return self._events(live, live.body, offset)

    def _forget_old(self) -> None:
        limit = time.monotonic() - STREAM_RETENTION_S
        for name, live in list(self._live.items()):
            if live.touched_at and live.touched_at < limit:
                del self._live[name]

    def _load(self) -> dict:
        """Return the load as it was `report_lag_s` ago."""
        now = time.monotonic()
        current = {'running': self._model.running, 'waiting': self._model.waiting}
        self._loads.append((now, current))
        old = [r for at, r in self._loads if at <= now - self._cfg.report_lag_s]
        self._loads = self._loads[-50:]
        return (old[-1] if old else {'running': 0, 'waiting': 0}) | {
            'prefill_tokens': self._model.prefill_tokens,
            'cached_tokens': self._model.cached_tokens,
        }
