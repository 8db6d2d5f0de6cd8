"""Stand-in weight store that serves one load at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bottle
import gevent
import gevent.lock

if TYPE_CHECKING:
    from .settings import StandinSettings


class StandinWeights:
    """Serves one load at a time, each for `weight_load_s`.

    `/loads/most` returns the highest number of concurrent loads, including
    those that waited.
    """

    def __init__(self, *, cfg: StandinSettings) -> None:
        self._cfg = cfg
        self._load_lock = gevent.lock.BoundedSemaphore(1)
        self._loading = 0
        self._max_loading = 0
        self.app = bottle.Bottle()
        self.app.get('/loads/most', callback=self._get_max_loading)
        self.app.get('/<model>', callback=self._load)

    def run(self) -> None:
        """Do nothing, as the store has no background work."""

    def _get_max_loading(self) -> dict:
        return {'most': self._max_loading}

    def _load(self, model: str) -> dict:
        self._loading += 1
        self._max_loading = max(self._max_loading, self._loading)
        try:
            with self._load_lock:
                gevent.sleep(self._cfg.weight_load_s)
        finally:
            self._loading -= 1
        return {'model': model}
