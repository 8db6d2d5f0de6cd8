"""Messages that report the use of customers' allowances and lend parts of them."""

from __future__ import annotations

from .base import Message, independent_items, message


@message
class CustomerUse(Message):
    """Totals of one customer since the sender's session began.

    `total` is the cost of admitted requests and `asked` that of all requests,
    both in the customer's unit (requests or tokens).
    """

    customer: str
    total: int
    asked: int = 0


@message
class UseReport(Message):
    """Changed totals of an entry, or of a lender together with its entries.

    A new `session` means that the totals restarted at zero.  The report covers
    `entries` entries.  A lender currently receives reports for `heard` entries,
    including those of other lenders, and `known` is the number of entries that
    the sender believes to exist.  If `begins` is true, the report is the first
    to this receiver and holds all non-zero totals.  `is_lender` is true if the
    sender is a lender.
    """

    session: int
    uses: tuple[CustomerUse, ...] = independent_items()
    begins: bool = False
    is_lender: bool = False
    entries: int = 1
    heard: int = 1
    known: int = 1


@message
class AllowanceLease(Message):
    """A part of a customer's allowance, lent to one entry.

    It is a token bucket with the rate `rate_per_s`, the capacity `burst` and
    the initial level `level`, in the customer's unit.
    """

    customer: str
    rate_per_s: int
    burst: int
    level: int


@message
class Borrow(Message):
    """Asks a lender for the cost of one request that exceeds the entry's own lease."""

    customer: str
    cost: int


@message
class Borrowed(Message):
    """Reply to a Borrow; if nothing is lent, retry after `retry_after_ms`."""

    is_lent: bool
    retry_after_ms: int = 0


@message
class AllowanceLeases(Message):
    """All leases of one entry; they expire if no messages arrive for a while.

    A customer without a lease is far below its allowance.
    """

    leases: tuple[AllowanceLease, ...] = independent_items()
