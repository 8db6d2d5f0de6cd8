"""Time that callers spent on attempts before the one that an entry sees."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .usual_deadline import UsualDeadline

if TYPE_CHECKING:
    from ..routes.route import Route
    from .caller_request import CallerRequest

MAX_ROUTES = 5000


class EarlierAttempts:
    """Estimates by route how long a caller has waited before this attempt."""

    def __init__(self) -> None:
        self._usual: dict[str, UsualDeadline] = {}

    def spent_s(self, req: CallerRequest, route: Route) -> float:
        """Return the seconds spent, 0 for a first attempt or if it is not known.

        A caller that has a part of a stream was not sent away without an answer.
        """
        if req.deadline_s is None or req.last_event is not None:
            return 0.0
        if route.name not in self._usual and len(self._usual) >= MAX_ROUTES:
            self._usual.clear()
        usual = self._usual.setdefault(route.name, UsualDeadline())
        return usual.spent_s(req.deadline_s)

    def failed(self, route: Route) -> None:
        """Record that a caller of the route got no answer and may come back."""
        usual = self._usual.get(route.name)
        if usual is not None:
            usual.failed()
