"""HTTP server that only serves metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import bottle

from .listen import make_server

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics

CONTENT_TYPE = 'text/plain; version=0.0.4'


def serve_metrics(address: str, metrics: Metrics) -> None:
    """Serve `/metrics` on an address; does nothing if it is empty."""
    if not address:
        return
    app = bottle.Bottle()

    @app.get('/metrics')
    def render() -> str:
        bottle.response.content_type = CONTENT_TYPE
        return metrics.render() + '\n'

    make_server(address, app).start()
