"""HTTP server for counters and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..exchange.limits import ExchangeLimits, no_body
from ..exchange.request_memory import process_memory
from ..exchange.server import HttpServer

if TYPE_CHECKING:
    from ..exchange.request import HttpRequest
    from ..exchange.server_connection import ServerConnection
    from ..telemetry.metrics import Metrics

CONTENT_TYPE = (b'content-type', b'text/plain; version=0.0.4')


def metrics_server(address: str, metrics: Metrics) -> HttpServer:
    """Return a server that answers every request, on any path, with all metrics."""

    def handle(conn: ServerConnection, _req: HttpRequest) -> None:
        process_memory.report(metrics)
        conn.respond(200, [CONTENT_TYPE], metrics.render().encode() + b'\n')

    return HttpServer(
        address=address,
        handle=handle,
        limits=ExchangeLimits,
        name='metrics',
        body_limit=no_body,
    )
