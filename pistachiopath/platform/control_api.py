"""HTTP API of a control node for operators and replicas."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING
from urllib.parse import unquote

from ..errors.configuration import InvalidConfiguration
from . import names
from .configuration import decode_configuration
from .registration import decode_announcement

if TYPE_CHECKING:
    from ..document.shell import DocumentShell
    from ..exchange.request import HttpRequest
    from ..exchange.server_connection import ServerConnection
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

# Clients try another control node after 1 second without an answer.
ANSWER_TIMEOUT_S = 0.85
JSON_CONTENT_TYPE = (b'content-type', b'application/json')
EMPTY_BODY = b'{}'
UNCERTAIN_BODY = b'{"error":"uncertain"}'
INVALID_BODY = b'{"error":"invalid"}'


class ControlApi:
    """Handles configuration and replica requests."""

    def __init__(self, *, shell: DocumentShell, metrics: Metrics) -> None:
        self._shell = shell
        self._metrics = metrics

    def handle(self, conn: ServerConnection, req: HttpRequest) -> None:
        """Answer one request and record its metrics."""
        started_at = time.monotonic()
        status, body = self._answer(req)
        method = req.method.decode('latin-1')
        self._metrics.count('calls_total', method=method, status=str(status))
        self._metrics.observe('call', time.monotonic() - started_at, method=method)
        conn.respond(status, [JSON_CONTENT_TYPE], body)

    def _answer(self, req: HttpRequest) -> tuple[int, bytes]:
        path = req.path
        if path == names.CONFIGURATION_PATH:
            if req.method == b'PUT':
                return self._put_configuration(req)
            if req.method == b'GET':
                return self._read_configuration()
            return 405, EMPTY_BODY
        if path.startswith(names.REPLICAS_PATH):
            replica = unquote(path.removeprefix(names.REPLICAS_PATH))
            if req.method == b'PUT':
                return self._put_announcement(replica, req.body)
            if req.method == b'DELETE':
                return self._delete_replica(replica)
            return 405, EMPTY_BODY
        return 404, EMPTY_BODY

    def _put_configuration(self, req: HttpRequest) -> tuple[int, bytes]:
        try:
            routes = decode_configuration(req.body)
        except InvalidConfiguration as exc:
            logger.warning('configuration_refused', extra={'reason': str(exc)})
            return 400, INVALID_BODY
        held_version = self._shell.put(routes.version, req.body, ANSWER_TIMEOUT_S)
        logger.info(
            'configuration_put',
            extra={
                'version': routes.version,
                'held': held_version if held_version else -1,
            },
        )
        return (503, UNCERTAIN_BODY) if held_version is None else (200, EMPTY_BODY)

    def _read_configuration(self) -> tuple[int, bytes]:
        reply = self._shell.read(ANSWER_TIMEOUT_S)
        if reply is None:
            return 503, UNCERTAIN_BODY
        if not reply.content:
            return 404, EMPTY_BODY
        return 200, reply.content

    def _put_announcement(self, replica: str, body: bytes) -> tuple[int, bytes]:
        try:
            record = decode_announcement(replica, body)
        except InvalidConfiguration as exc:
            logger.warning(
                'announcement_refused', extra={'replica': replica, 'reason': str(exc)}
            )
            return 400, INVALID_BODY
        self._shell.announce(record)
        return 200, EMPTY_BODY

    def _delete_replica(self, replica: str) -> tuple[int, bytes]:
        self._shell.depart(replica)
        return 200, EMPTY_BODY
