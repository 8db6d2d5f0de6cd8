"""Messages of entries to a gate, and what its replies say."""

from __future__ import annotations

from pistachiopath.messages.grants import (
    Ask,
    Denied,
    Granted,
    ReleasePlace,
)


def ask(request, **changes):
    details = {
        'request': request,
        'tier': 1,
        'customer': 'c',
        'prompt_tokens': 1000,
        'output_tokens': 50,
        'objective_ms': 1000,
        'deadline_ms': 6000,
        'slots': 2,
    }
    return Ask(**details | changes)


def release(request, ok=True, first_ms=30):
    return ReleasePlace(request=request, first_ms=first_ms, ok=ok)


def granted(effects):
    return [e.body.request for e in effects if isinstance(e.body, Granted)]


def denied(effects):
    return [e.body.request for e in effects if isinstance(e.body, Denied)]
