"""Stand-in plain service that records requests in a ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bottle
import gevent

if TYPE_CHECKING:
    from .settings import StandinSettings


class StandinService:
    """Adds an entry to the ledger for each POST, and answers each GET.

    Tests read the ledger to check how often a request ran.
    """

    def __init__(self, *, cfg: StandinSettings) -> None:
        self._cfg = cfg
        self._ledger: list[dict] = []
        self.app = bottle.Bottle()
        self.app.get('/ledger', callback=lambda: {'ledger': self._ledger})
        self.app.get('/health', callback=lambda: {'status': 'ok'})
        self.app.post('/<path:path>', callback=self._post)
        self.app.get('/<path:path>', callback=self._get)

    def run(self) -> None:
        """Do nothing, as the service has no background work."""

    def _post(self, path: str) -> dict:
        entry = {'path': path, 'body': bottle.request.body.read().decode()}
        self._ledger.append(entry)
        gevent.sleep(self._cfg.service_time_s)
        return {'entry': len(self._ledger), 'echo': entry['body']}

    def _get(self, path: str) -> dict:
        gevent.sleep(self._cfg.service_time_s)
        return {'path': path, 'query': dict(bottle.request.query)}
