"""How an entry knows which software version began a stream."""

from __future__ import annotations

import enum


class OriginSource(enum.StrEnum):
    """Sources of the version, in the order in which they are asked.

    OWN: this entry delivered the first event or a later one.  DEDUCED: the service
    has had no other version.  GATE: a gate granted the place.  CONTROL: an entry noted
    it at a control node.  NONE: nobody knows.
    """

    OWN = 'own'
    DEDUCED = 'deduced'
    GATE = 'gate'
    CONTROL = 'control'
    NONE = 'none'
