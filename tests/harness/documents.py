"""Configurations of many routes, as an operator writes them."""

from __future__ import annotations

import json
import random
import string

NAME_CHARACTERS = string.ascii_lowercase + string.digits


def document(routes, *, seed=1):
    """Return a document of that many routes, with names that don't repeat."""
    rng = random.Random(seed)
    body = {'routes': [_route(rng) for _ in range(routes)]}
    return json.dumps(body, separators=(',', ':')).encode()


def _name(rng):
    return ''.join(rng.choices(NAME_CHARACTERS, k=8))


def _route(rng):
    return {
        'name': _name(rng),
        'host': 'reports.example',
        'path': f'/{_name(rng)}/',
        'kind': 'stream',
        'timeout_ms': 6000,
        'objective_ms': 1035,
        'tier': rng.randrange(3),
        'services': [
            {'service': 'reports', 'weight': 90},
            {'service': 'next-reports', 'weight': 10},
        ],
        'attempts': 2,
        'is_public': False,
        'may_resume': True,
        'pause_ms': 800,
    }
