"""HTTP routes to the prefix cache of the stand-in engine."""

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

MAX_PUBLISHED_EVENTS = 1000


@attrs.define(kw_only=True, frozen=True)
class _PublishedEvent:
    published_at: float
    event: CacheEvent


class StandinCache:
    """Serves delayed and incomplete cache events and transfers KV blocks.

    An event is visible `event_lag_s` after it was published.  One event in
    `event_gap` is never published, so its sequence number is missing.
    Transfers run at `kv_blocks_s` blocks per second.
    """

    def __init__(self, *, cfg: StandinSettings, cache: PrefixCache) -> None:
        self._cfg = cfg
        self._cache = cache
        self._published: list[_PublishedEvent] = []

    def attach(self, app: bottle.Bottle) -> None:
        """Add the routes of events and transfers."""
        app.get('/cache_events', callback=self._events)
        app.post('/kv/export', callback=self._export)
        app.post('/kv/import', callback=self._import)

    def publish(self) -> None:
        """Publish the events of the cache since the last call."""
        now = time.monotonic()
        gap = self._cfg.event_gap
        kept = [e for e in self._cache.events if not gap or e.sequence % gap]
        self._cache.events.clear()
        self._published += [
            _PublishedEvent(published_at=now, event=event) for event in kept
        ]
        del self._published[:-MAX_PUBLISHED_EVENTS]

    def _events(self) -> dict:
        self.publish()
        after = int(bottle.request.query.get('after', 0))
        latest = time.monotonic() - self._cfg.event_lag_s
        visible = [p.event for p in self._published if p.published_at <= latest]
        return {'events': [attrs.asdict(e) for e in visible if e.sequence > after]}

    def _export(self) -> dict:
        """Return the cached leading blocks of a prompt."""
        prompt = json.loads(bottle.request.body.read())['prompt']
        blocks = prefix_blocks(prompt, self._cfg.profile.block_tokens)
        cached = self._cache.cached_prefix(blocks)
        gevent.sleep(len(cached) / self._cfg.kv_blocks_s)
        return {'blocks': list(cached)}

    def _import(self) -> dict:
        """Store blocks that another engine exported."""
        blocks = tuple(json.loads(bottle.request.body.read())['blocks'])
        gevent.sleep(len(blocks) / self._cfg.kv_blocks_s)
        self._cache.store(blocks)
        return {'imported': len(blocks)}
