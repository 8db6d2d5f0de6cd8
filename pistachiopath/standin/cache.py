"""Prefix cache of the stand-in engine, as others see it."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import attrs
import bottle
import gevent

from ..engine.prefix_cache import CacheEvent
from ..engine.tokens import prefix_blocks

if TYPE_CHECKING:
    from ..engine.prefix_cache import PrefixCache
    from .settings import StandinSettings

MAX_EVENTS = 1000


@attrs.define(kw_only=True, frozen=True)
class _Published:
    at: float
    event: CacheEvent


class StandinCache:
    """Cache events, late and with gaps, and export and import of KV blocks.

    An event is shown `event_lag_s` after it happened; one in `event_gap` is
    never shown, and its sequence number is missing.  A transfer takes a
    second for each `kv_blocks_s` blocks.
    """

    def __init__(self, *, cfg: StandinSettings, cache: PrefixCache) -> None:
        self._cfg = cfg
        self._cache = cache
        self._published: list[_Published] = []

    def attach(self, app: bottle.Bottle) -> None:
        """Add the routes of events and transfers."""
        app.get('/cache_events', callback=self._events)
        app.post('/kv/export', callback=self._export)
        app.post('/kv/import', callback=self._import)

    def publish(self) -> None:
        """Take in what the cache did since the last call."""
        now = time.monotonic()
        gap = self._cfg.event_gap
        shown = [e for e in self._cache.events if not gap or e.sequence % gap]
        self._cache.events.clear()
        self._published += [_Published(at=now, event=event) for event in shown]
        del self._published[:-MAX_EVENTS]

    def _events(self) -> dict:
        self.publish()
        after = int(bottle.request.query.get('after', 0))
        latest = time.monotonic() - self._cfg.event_lag_s
        seen = [p.event for p in self._published if p.at <= latest]
        return {'events': [attrs.asdict(e) for e in seen if e.sequence > after]}

    def _export(self) -> dict:
        """Return the blocks that are held of a prompt."""
        prompt = json.loads(bottle.request.body.read())['prompt']
        blocks = prefix_blocks(prompt, self._cfg.profile.block_tokens)
        held = self._cache.held(blocks)
        gevent.sleep(len(held) / self._cfg.kv_blocks_s)
        return {'blocks': list(held)}

    def _import(self) -> dict:
        """Hold blocks that another engine exported."""
        blocks = tuple(json.loads(bottle.request.body.read())['blocks'])
        gevent.sleep(len(blocks) / self._cfg.kv_blocks_s)
        self._cache.store(blocks)
        return {'imported': len(blocks)}
