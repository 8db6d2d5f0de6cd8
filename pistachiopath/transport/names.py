"""Names of messages and fields in the Cap'n Proto schema."""

from __future__ import annotations


def camel(name: str) -> str:
    """Convert a name to camel case: `refused_age_ms` to `refusedAgeMs`."""
    head, *tail = name.split('_')
    return head + ''.join(part.capitalize() for part in tail)


def union_name(cls_name: str) -> str:
    """Return the name of the envelope's union member for a message class."""
    return cls_name[0].lower() + cls_name[1:]
