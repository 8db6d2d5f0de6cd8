"""A place that is held at another replica for a request."""

from __future__ import annotations

import attrs

from ..routing.placement import Candidate
from .places import Grant


@attrs.define(kw_only=True, frozen=True)
class Reservation:
    """A replica that accepts connections, and the place granted there if it has any.

    The place has to be released.
    """

    candidate: Candidate
    grant: Grant | None
