"""A place that is held at another replica for a request."""

from __future__ import annotations

import attrs

from ..routing.placement import Candidate
from .places import Grant


@attrs.define(kw_only=True, frozen=True)
class Reservation:
    """A replica that accepts connections, and the place granted at its gate.

    `grant` is None if the replica has no gate; a grant has to be released.
    """

    candidate: Candidate
    grant: Grant | None
