"""HTTP calls by which operators order rollouts and read their states."""

from __future__ import annotations

import json
import logging
import time
from typing import TYPE_CHECKING
from urllib.parse import unquote

from ..directory.replica_state import ReplicaState
from ..document.packing import unpack
from ..errors.configuration import InvalidConfiguration
from ..messages.rollout_orders import OrderRollout
from ..rollouts.split import serving_versions
from ..streams.service_version import UNKNOWN_PREFIX
from ..util.plain_text import shortened, text_error
from . import names
from .configuration import decode_configuration
from .wire_fields import MAX_TEXT_CHARS, WireFields

if TYPE_CHECKING:
    from ..document.shell import DocumentShell
    from ..exchange.request import HttpRequest
    from ..routes.route_set import RouteSet
    from ..telemetry.metrics import Metrics

logger = logging.getLogger(__name__)

# Clients try another control node after 1 second without an answer.
ANSWER_TIMEOUT_S = 0.85
MAX_DURATION_S = 1_000_000.0
EMPTY_BODY = b'{}'
UNCERTAIN_BODY = b'{"error":"uncertain"}'
INVALID_BODY = b'{"error":"invalid"}'
CONFLICT_BODY = b'{"error":"active"}'


class RolloutApi:
    """Answers the calls about rollouts with a status and a body."""

    def __init__(self, *, shell: DocumentShell, metrics: Metrics) -> None:
        self._shell = shell
        self._metrics = metrics
        self._services_of: tuple[int, frozenset[str]] = (0, frozenset())

    def answer(self, req: HttpRequest) -> tuple[int, bytes]:
        """Answer a request whose path begins with that of rollouts."""
        rest = req.path.removeprefix(names.ROLLOUTS_PATH)
        if not rest:
            return self._order(req) if req.method == b'POST' else (405, EMPTY_BODY)
        if not rest.startswith('/') or rest == '/':
            return 404, EMPTY_BODY
        return self._read(rest[1:]) if req.method == b'GET' else (405, EMPTY_BODY)

    def _order(self, req: HttpRequest) -> tuple[int, bytes]:
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        try:
            order = self._decode(req.body)
        except InvalidConfiguration as exc:
            return self._refused(str(exc))
        is_known = self._is_known(order.service, deadline)
        if is_known is None:
            return 503, UNCERTAIN_BODY
        if not is_known:
            return self._refused('unknown_service')
        timeout_s = max(0.0, deadline - time.monotonic())
        reply = self._shell.requests.order_rollout(order, timeout_s)
        outcome = 'uncertain' if reply is None else 'accepted'
        if reply is not None and reply.is_refused:
            outcome = 'conflict'
        self._metrics.count('rollout_orders_total', outcome=outcome)
        logger.info(
            'rollout_ordered',
            extra={
                'service': shortened(order.service),
                'to': shortened(order.to),
                'duration_ms': order.duration_ms,
                'outcome': outcome,
            },
        )
        if reply is None:
            return 503, UNCERTAIN_BODY
        return (409, CONFLICT_BODY) if reply.is_refused else (200, EMPTY_BODY)

    def _decode(self, body: bytes) -> OrderRollout:
        """Return the order in a body; raises `InvalidConfiguration`."""
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as exc:
            raise InvalidConfiguration(where='rollout', reason='unreadable') from exc
        fields = WireFields(data=data, where='rollout')
        service, to = fields.text('backend'), fields.text('to')
        if not service or not to or to.startswith(UNKNOWN_PREFIX):
            raise InvalidConfiguration(where='rollout', reason='no_version')
        duration_s = fields.number('duration_s', high=MAX_DURATION_S)
        if not duration_s > 0:
            raise InvalidConfiguration(where='rollout', reason='no_duration')
        return OrderRollout(
            service=service,
            to=to,
            duration_ms=max(1, int(duration_s * 1000)),
            serving=self._serving(service),
        )

    def _serving(self, service: str) -> tuple[str, ...]:
        records = self._shell.announcer.directory.records()
        ready = (r for r in records if r.state == ReplicaState.READY)
        return tuple(sorted(serving_versions(ready, service)))

    def _is_known(self, service: str, deadline: float) -> bool | None:
        """Return whether a service is configured, None if that is not certain.

        This node may not hold the newest configuration, so it asks for it before an
        order is refused.
        """
        core = self._shell.core
        try:
            if service in self._services(core.version, core.content):
                return True
            reply = self._shell.requests.read(max(0.0, deadline - time.monotonic()))
            return None if reply is None else service in _service_names(reply.content)
        except InvalidConfiguration as exc:
            # A node of another build accepted it.
            logger.error('configuration_unusable', extra={'reason': str(exc)})
            return None

    def _services(self, version: int, content: bytes) -> frozenset[str]:
        if version != self._services_of[0]:
            self._services_of = (version, _service_names(unpack(content)))
        return self._services_of[1]

    def _refused(self, reason: str) -> tuple[int, bytes]:
        self._metrics.count('rollout_orders_total', outcome='invalid')
        logger.warning('rollout_refused', extra={'reason': reason})
        return 400, INVALID_BODY

    def _read(self, quoted: str) -> tuple[int, bytes]:
        try:
            service = unquote(quoted, errors='strict')
        except UnicodeDecodeError:
            return 404, EMPTY_BODY
        if text_error(service, MAX_TEXT_CHARS):
            return 404, EMPTY_BODY
        reply = self._shell.requests.read_rollout(service, ANSWER_TIMEOUT_S)
        if reply is None:
            return 503, UNCERTAIN_BODY
        if not reply.records:
            return 404, EMPTY_BODY
        record = reply.records[0]
        return 200, json.dumps({'state': record.state, 'to': record.to}).encode()


def _service_names(content: bytes) -> frozenset[str]:
    if not content:
        return frozenset()
    routes: RouteSet = decode_configuration(content)
    return frozenset(service.name for service in routes.services)
