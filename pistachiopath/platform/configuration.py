"""Decodes the operators' configuration into the product's routes."""

from __future__ import annotations

import json

from ..errors.configuration import InvalidConfiguration
from ..exchange.limits import ExchangeLimits
from ..messages.ranges import MAX_EXACT, MAX_TOKENS
from ..routes.customer_account import CustomerAccount
from ..routes.repetition import Repetition
from ..routes.route import Route, Share
from ..routes.route_set import RouteSet
from ..routes.service import Service
from ..routes.validation import check
from .wire_fields import WireFields

STREAMING = 'streaming'
REPETITIONS = {
    'safe': Repetition.IDEMPOTENT,
    'unsafe': Repetition.ONCE,
    STREAMING: Repetition.ONCE,
}


def decode_configuration(content: bytes) -> RouteSet:
    """Return the validated configuration in `content`.

    Raises `InvalidConfiguration` if it is malformed, incomplete or invalid.
    """
    try:
        data = json.loads(content)
    except (ValueError, RecursionError) as exc:
        raise InvalidConfiguration(where='document', reason='unreadable') from exc
    fields = WireFields(data=data, where='document')
    if not fields.has('routes') or not fields.has('backends'):
        raise InvalidConfiguration(where='document', reason='incomplete')
    routes = RouteSet(
        version=fields.integer('version'),
        routes=tuple(_route(f) for f in fields.objects('routes')),
        services=tuple(_service(f) for f in fields.objects('backends')),
        customers=tuple(_customer(f) for f in fields.objects('tenants')),
        limits=_limits(fields),
    )
    check(routes)
    return routes


def _route(fields: WireFields) -> Route:
    kind = fields.text('route_type')
    if kind not in REPETITIONS:
        raise InvalidConfiguration(where=fields.where, reason='unknown_kind')
    repetition = REPETITIONS[kind]
    if kind == STREAMING and fields.boolean('stream_resume'):
        repetition = Repetition.RESUMABLE
    return Route(
        name=fields.text('name'),
        host=fields.text('hostname'),
        prefix=fields.text('path_prefix'),
        shares=_shares(fields),
        repetition=repetition,
        is_stream=kind == STREAMING,
        timeout_s=fields.number('timeout_ms') / 1000,
        objective_s=fields.number('target_latency_ms', 1000, low=0) / 1000,
        tier=fields.integer('priority', 0),
        max_targets=max(1, fields.integer('attempts', 1)),
        # The field is named for a time per token, but it bounds the pause
        # between events.
        pause_s=fields.number('tpot_target_ms', 0, low=0) / 1000,
        is_public=fields.boolean('public'),
        follows_prompt=fields.boolean('session_affinity'),
    )


def _shares(fields: WireFields) -> tuple[Share, ...]:
    if not fields.has('traffic_split'):
        return (Share(service=fields.text('backend'), weight=1.0),)
    return tuple(
        Share(service=part.text('backend'), weight=part.number('weight'))
        for part in fields.objects('traffic_split')
    )


def _service(fields: WireFields) -> Service:
    engine = None
    if fields.has('engine'):
        engine = fields.object('engine')
    return Service(
        name=fields.text('name'),
        max_connections=_count(fields, 'max_conns'),
        has_engine=engine is not None,
        slots=_count(engine, 'slots') if engine else 0,
        memory_tokens=_count(engine, 'kv_capacity') if engine else 0,
    )


def _customer(fields: WireFields) -> CustomerAccount:
    return CustomerAccount(
        name=fields.text('name'),
        keys=fields.texts('api_keys'),
        tier=fields.integer('priority') if fields.has('priority') else None,
        rate_per_s=fields.number('rate_per_s', 0.0, low=0),
        burst=fields.number('burst', 0.0, low=0),
        counts_tokens=fields.text('unit', 'requests') == 'tokens',
        plain_cost=fields.number('plain_tokens', 1.0, low=0, high=MAX_TOKENS),
    )


def _limits(fields: WireFields) -> ExchangeLimits:
    defaults = ExchangeLimits()
    if not fields.has('limits'):
        return defaults
    limits = fields.object('limits')
    return ExchangeLimits(
        max_header_bytes=_count(limits, 'max_header_bytes', defaults.max_header_bytes),
        max_body_bytes=_count(limits, 'max_body_bytes', defaults.max_body_bytes),
        header_timeout_s=limits.number('header_timeout_ms', 3000, low=0) / 1000,
        idle_timeout_s=limits.number('idle_timeout_ms', 15000, low=0) / 1000,
    )


def _count(fields: WireFields, name: str, default: int = 0) -> int:
    return fields.integer(name, default, low=0, high=MAX_EXACT)
