from __future__ import annotations

from pistachiopath.messages.directory import ReplicaRecord


def record(**overrides):
    fields = {
        'replica': 'r1',
        'born_ms': 1000,
        'sequence': 1,
        'service': 'model',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'software_version': 'v1',
    }
    return ReplicaRecord(**fields | overrides)
