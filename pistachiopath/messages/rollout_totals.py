"""What entries report of the versions of a service during a rollout."""

from __future__ import annotations

from .base import Message, independent_items, message


@message
class TimeSums(Message):
    """Sums over times in ms of one kind, for requests of similar sizes.

    The size is the number of binary digits of the prompt's length in tokens.
    `log_sum` and `log_squares` are sums of the binary logarithm and of its square,
    in thousandths.
    """

    kind: str
    size: int
    number: int
    log_sum: int
    log_squares: int


@message
class VersionTotals(Message):
    """What became of the requests sent to a version on a route."""

    version: str
    route: str
    sent: int
    ended: int
    answered: int
    failed: int
    times: tuple[TimeSums, ...] = ()


@message
class OrderTotals(Message):
    """Totals since an entry heard of an order."""

    service: str
    order: int
    versions: tuple[VersionTotals, ...] = independent_items()


@message
class RolloutTotals(Message):
    """Report of an entry's totals, all of one process run (`session`).

    Totals never decrease within a session, so lost and repeated reports do no harm.
    `entry` is empty until a control node that is not the leader passes it on.
    """

    session: int
    orders: tuple[OrderTotals, ...] = independent_items()
    entry: str = ''
