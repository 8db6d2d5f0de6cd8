"""Names of messages and fields in the schema."""

from __future__ import annotations


def camel(name: str) -> str:
    """Return `refused_age_ms` as `refusedAgeMs`."""
    head, *tail = name.split('_')
    return head + ''.join(part.capitalize() for part in tail)


def union_name(cls: type) -> str:
    """Return the member name of a message class in the envelope's union."""
    return cls.__name__[0].lower() + cls.__name__[1:]
