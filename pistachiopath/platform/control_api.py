"""HTTP API of a control node for operators and replicas."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING
from urllib.parse import unquote

from ..directory.record_check import check_replica_id, check_start
from ..errors.configuration import InvalidConfiguration
from ..exchange.limits import UNBOUNDED, UNREAD, BodyBound
from ..util.plain_text import shortened
from . import names
from .configuration import decode_configuration
from .registration import (
    MAX_ANNOUNCEMENT_BYTES,
    decode_announcement,
    decode_departure,
)

if TYPE_CHECKING:
    from ..document.shell import DocumentShell
    from ..exchange.request import HttpRequest
    from ..exchange.server_connection import ServerConnection
    from ..telemetry.metrics import Metrics
    from .rollout_api import RolloutApi

logger = logging.getLogger(__name__)

# Clients try another control node after 1 second without an answer.
ANSWER_TIMEOUT_S = 0.85
METHODS = frozenset({b'GET', b'PUT', b'POST', b'DELETE'})
OTHER_METHOD = 'other'
JSON_CONTENT_TYPE = (b'content-type', b'application/json')
EMPTY_BODY = b'{}'
ANNOUNCEMENT = BodyBound(max_bytes=MAX_ANNOUNCEMENT_BYTES, status=400)
UNCERTAIN_BODY = b'{"error":"uncertain"}'
INVALID_BODY = b'{"error":"invalid"}'


class ControlApi:
    """Handles configuration and replica requests, and those of `rollouts`, if any."""

    def __init__(
        self,
        *,
        shell: DocumentShell,
        metrics: Metrics,
        rollouts: RolloutApi | None = None,
    ) -> None:
        self._shell = shell
        self._metrics = metrics
        self._rollouts = rollouts

    def handle(self, conn: ServerConnection, req: HttpRequest) -> None:
        """Answer one request and record its metrics."""
        started_at = time.monotonic()
        status, body = self._answer(req)
        method = _known_method(req)
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
            return self._answer_replica(req, path.removeprefix(names.REPLICAS_PATH))
        if self._rollouts is not None and path.startswith(names.ROLLOUTS_PATH):
            return self._rollouts.answer(req)
        return 404, EMPTY_BODY

    def _put_configuration(self, req: HttpRequest) -> tuple[int, bytes]:
        try:
            routes = decode_configuration(req.body)
            held_version = self._shell.requests.put(
                routes.version, req.body, ANSWER_TIMEOUT_S
            )
        except InvalidConfiguration as exc:
            logger.warning('configuration_refused', extra={'reason': str(exc)})
            return 400, INVALID_BODY
        logger.info(
            'configuration_put',
            extra={
                'version': routes.version,
                'held': held_version if held_version else -1,
            },
        )
        return (503, UNCERTAIN_BODY) if held_version is None else (200, EMPTY_BODY)

    def _read_configuration(self) -> tuple[int, bytes]:
        reply = self._shell.requests.read(ANSWER_TIMEOUT_S)
        if reply is None:
            return 503, UNCERTAIN_BODY
        if not reply.content:
            return 404, EMPTY_BODY
        return 200, reply.content

    def _answer_replica(self, req: HttpRequest, quoted_id: str) -> tuple[int, bytes]:
        if req.method not in (b'PUT', b'DELETE'):
            return 405, EMPTY_BODY
        try:
            replica = _unquoted(quoted_id)
            if req.method == b'PUT':
                self._announce(replica, req.body)
            else:
                self._shell.depart(replica, born_ms=decode_departure(req.body))
        except InvalidConfiguration as exc:
            self._log_refused(req, quoted_id, exc)
            return 400, INVALID_BODY
        return 200, EMPTY_BODY

    def _announce(self, replica: str, body: bytes) -> None:
        record = decode_announcement(replica, body)
        check_start(record, int(time.time() * 1000))
        self._shell.announce(record)

    def _log_refused(
        self, req: HttpRequest, quoted_id: str, exc: InvalidConfiguration
    ) -> None:
        self._metrics.count('announcements_refused_total', reason=exc.reason)
        logger.warning(
            'announcement_refused',
            extra={
                'replica': shortened(quoted_id),
                'method': _known_method(req),
                'bytes': len(req.body),
                'reason': str(exc),
            },
        )


def body_limit(method: bytes, target: bytes) -> BodyBound:
    """Return the bound on the body of a call; that of a GET is not read."""
    if method == b'GET':
        return UNREAD
    is_of_replica = target.startswith(names.REPLICAS_PATH.encode())
    return ANNOUNCEMENT if is_of_replica else UNBOUNDED


def _known_method(req: HttpRequest) -> str:
    """Return the method if it is one of `METHODS`, which bounds the metrics."""
    return req.method.decode('latin-1') if req.method in METHODS else OTHER_METHOD


def _unquoted(quoted_id: str) -> str:
    """Return the id of a replica from a path; raises `InvalidConfiguration`."""
    try:
        replica = unquote(quoted_id, errors='strict')
    except UnicodeDecodeError as exc:
        raise InvalidConfiguration(where='replica', reason='not_utf8') from exc
    check_replica_id(replica)
    return replica
