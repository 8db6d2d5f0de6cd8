"""Stand-in weight store that serves one load at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bottle
import gevent
import gevent.lock

if TYPE_CHECKING:
    from .settings import StandinSettings


class StandinWeights:
    """Rate-limited store: each load takes `weight_load_s`, one by one."""

    def __init__(self, *, cfg: StandinSettings) -> None:
        self._cfg = cfg
        self._turn = gevent.lock.BoundedSemaphore(1)
        self.app = bottle.Bottle()
        self.app.get('/<model>', callback=self._load)

    def run(self) -> None:
        """Do nothing: the store has no work of its own."""

    def _load(self, model: str) -> dict:
        with self._turn:
            gevent.sleep(self._cfg.weight_load_s)
        return {'model': model}
