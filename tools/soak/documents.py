"""Configurations that the operator sends."""

from __future__ import annotations

from .request_kind import RequestKind
from .topology import ENGINE_SERVICE, HOST, PLAIN_SERVICES

KEYS = {'customer-1': 'k3y0f7h3s0ak', 'metered': 'k3y0f7h3m3t3r3d'}
CUSTOMER = 'customer-1'
# This customer asks for more than its allowance.
METERED_CUSTOMER = 'metered'
METERED_RATE_PER_S = 400
METERED_BURST = 1200
PLAIN_TOKENS = 200
STREAM_TOKENS = (200, 40)
PLAIN_TIMEOUT_S = 5.0
STREAM_TIMEOUT_S = 12.0
# Each configuration adds a route, which it keeps for so many versions in all.
EXTRA_ROUTES_KEPT = 3
ATTEMPTS = 3


def timeout_s(kind: RequestKind) -> float:
    """Return the time that callers and routes allow for a kind of request."""
    return STREAM_TIMEOUT_S if kind.is_stream else PLAIN_TIMEOUT_S


def moved_service(version: int) -> str:
    """Return the service to which a version sends the route that moves."""
    return PLAIN_SERVICES[version % len(PLAIN_SERVICES)]


def has_extra_route(version: int, number: int) -> bool:
    """Return whether a version has the extra route of that number."""
    return version - EXTRA_ROUTES_KEPT < number <= version


def services_of(kind: RequestKind) -> tuple[str, ...]:
    """Return the services to which configurations send a kind of request."""
    if kind.is_stream:
        return (ENGINE_SERVICE,)
    if kind is RequestKind.MOVED:
        return PLAIN_SERVICES
    return PLAIN_SERVICES[1:] if kind is RequestKind.UNSAFE else PLAIN_SERVICES[:1]


def tokens_of(kind: RequestKind) -> int:
    """Return what a request of a kind counts against an allowance."""
    return sum(STREAM_TOKENS) if kind.is_stream else PLAIN_TOKENS


def document(version: int) -> dict:
    """Return the configuration of a version, as the operator sends it."""
    fixed = {
        kind: services_of(kind)[0]
        for kind in RequestKind
        if kind is not RequestKind.EXTRA
    }
    fixed[RequestKind.MOVED] = moved_service(version)
    routes = [_route(kind, kind.prefix, service) for kind, service in fixed.items()]
    first = max(1, version - EXTRA_ROUTES_KEPT + 1)
    for number in range(first, version + 1):
        prefix = f'{RequestKind.EXTRA.prefix}{number}/'
        routes.append(_route(RequestKind.EXTRA, prefix, PLAIN_SERVICES[0]))
    return {
        'version': version,
        'routes': routes,
        'backends': [_engine(), *(_service(name) for name in PLAIN_SERVICES)],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            _customer(CUSTOMER),
            _customer(METERED_CUSTOMER)
            | {
                'unit': 'tokens',
                'plain_tokens': PLAIN_TOKENS,
                'rate_per_s': METERED_RATE_PER_S,
                'burst': METERED_BURST,
            },
        ],
    }


def invalid_document(version: int) -> dict:
    """Return a configuration whose routes name a service that it does not have."""
    content = document(version)
    content['routes'][0]['backend'] = 'missing'
    return content


def _route(kind: RequestKind, prefix: str, service: str) -> dict:
    if kind.is_stream:
        route_type = 'streaming'
    else:
        route_type = 'safe' if kind.may_repeat else 'unsafe'
    return {
        'name': f'r-{prefix.strip("/")}',
        'hostname': HOST,
        'path_prefix': prefix,
        'route_type': route_type,
        'timeout_ms': int(timeout_s(kind) * 1000),
        'target_latency_ms': 500,
        'priority': 1 if kind.is_stream else 0,
        'backend': service,
        'attempts': ATTEMPTS,
        'public': False,
        'session_affinity': kind.is_stream,
        'stream_resume': kind is RequestKind.RESUMABLE_STREAM,
        'tpot_target_ms': 400 if kind.is_stream else 0,
    }


def _customer(name: str) -> dict:
    return {'name': name, 'api_keys': [KEYS[name]], 'priority': 0}


def _service(name: str) -> dict:
    return {
        'name': name,
        'health_check': '/healthz',
        'max_conns': 120,
        'protocol': 'h1',
        'tls': False,
    }


def _engine() -> dict:
    return _service(ENGINE_SERVICE) | {
        'engine': {
            'slots': 8,
            'kv_capacity': 600000,
            'kv_token_bytes': 18432,
            'bandwidth_mbps': 370000.0,
            'moves': False,
            'backups': False,
            'stride': 1,
            'most': 12,
            'models': [{'name': 'm'}],
        }
    }
