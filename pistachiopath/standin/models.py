"""Models of the stand-in engine and the orders that change them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import bottle
import gevent
import urllib3

if TYPE_CHECKING:
    from .settings import StandinSettings

FIRST_VERSION = '1'


class StandinModels:
    """Keeps the models of the engine and loads those that orders name.

    Loads go through the weight store, if the settings name one.
    """

    def __init__(self, *, cfg: StandinSettings) -> None:
        self._cfg = cfg
        self._highest_fence = 0
        self._http = urllib3.PoolManager(retries=False, timeout=60.0)
        self.orders: list[dict] = []
        self._models = {
            model: {'version': FIRST_VERSION, 'adapters': [], 'ready': True}
            for model in cfg.models
        }

    def attach(self, app: bottle.Bottle) -> None:
        """Add the routes of models and orders."""
        app.post('/orders', callback=self._order)
        app.get('/orders', callback=lambda: {'orders': self.orders})
        app.get('/models', callback=self._list)

    def is_loading(self, model: str) -> bool:
        """Return whether a model is still loading, so that its requests are refused."""
        state = self._models.get(model)
        return state is not None and not state['ready']

    def _list(self) -> dict:
        models = [{'model': name} | state for name, state in self._models.items()]
        return {'models': models}

    def _order(self) -> dict:
        order = json.loads(bottle.request.body.read())
        fence = int(order.get('fence', 0))
        if self._cfg.checks_fence and fence < self._highest_fence:
            return bottle.HTTPResponse({'error': {'code': 'old_fence'}}, status=409)
        self._highest_fence = max(self._highest_fence, fence)
        self.orders.append(order)
        self._models.pop(order.get('replaces', ''), None)
        self._models[order['model']] = {
            'version': order['version'],
            'adapters': order['adapters'],
            'ready': False,
        }
        gevent.spawn(self._load, order['model'])
        return {'status': 'loading', 'fence': self._highest_fence}

    def _load(self, model: str) -> None:
        if self._cfg.weight_store:
            self._http.request('GET', f'http://{self._cfg.weight_store}/{model}')
        else:
            gevent.sleep(self._cfg.weight_load_s)
        if model in self._models:
            self._models[model]['ready'] = True
