"""Announcements as another writer might send them, which name no usable replica."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from urllib.parse import quote

import gevent

from . import wire
from .client import call

if TYPE_CHECKING:
    import random

    from .deployment import Deployment

INTERVAL_S = 0.1
HALF_OF_A_PAIR = '\ud800'
# Each of these fields makes an announcement odd.
ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'sequence': 2**70},
    {'sequence': 2**63},
    {'sequence': '7'},
    {'sequence': None},
    {'born': 10**400},
    {'born': -(2**70)},
    {'born': 1.5},
    {'zone': HALF_OF_A_PAIR},
    {'zone': 'z' * 1_000_000},
    {'zone': 7},
    {'backend': HALF_OF_A_PAIR},
    {'backend': 'a service that nobody has named'},
    {'warmup_left_ms': 10**400},
    {'warmup_left_ms': 1e300},
    {'warmup_left_ms': -1},
    {'slots': 0},
    {'slots': -5},
    {'slots': 10**15},
    {'slots': 2**63},
    {'state': 'odd'},
    {'state': ['ready']},
    {'address': 'nowhere'},
    {'address': '127.0.0.1:99999999'},
    {'version': {'nested': []}},
)
ODD_IDS = ('i-\ud800', 'i-' + 'x' * 100_000, 'i-\u4e2d', '%', '')
ODD_BODIES = (b'', b'\xff\xfe', b'[' * 50_000, b'[]', b'null', b'{"state":"ready"')


def send_odd_announcements(
    deployment: Deployment, rng: random.Random, for_s: float
) -> None:
    """Send odd announcements to all control nodes for a time.

    None of them names the address of a replica that exists.
    """
    until = time.monotonic() + for_s
    number = 0
    while time.monotonic() < until:
        number += 1
        path, body = odd_announcement(rng, number, deployment.topology.unused_ip)
        address = rng.choice(list(deployment.controls.values()))
        call(address, 'PUT', path, body)
        gevent.sleep(INTERVAL_S)


def odd_announcement(
    rng: random.Random, number: int, unused_ip: str
) -> tuple[str, bytes]:
    """Return path and body of an odd announcement."""
    replica, body = f'i-odd-{number}', _usual(unused_ip)
    match rng.randrange(6):
        case 0:
            replica = rng.choice(ODD_IDS)
        case 1:
            return _path(replica), rng.choice(ODD_BODIES)
        case 2:
            del body[rng.choice(list(body))]
        case _:
            body |= rng.choice(ODD_FIELDS)
    return _path(replica), json.dumps(body).encode()


def _usual(unused_ip: str) -> dict:
    """Return an announcement of a replica at an address where nothing listens."""
    return {
        'backend': 'odd',
        'address': f'{unused_ip}:9',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'sequence': 1,
        'born': 1,
    }


def _path(replica: str) -> str:
    return wire.REPLICAS_PATH + quote(replica.encode('utf-8', 'surrogatepass'))
