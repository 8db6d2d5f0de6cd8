"""Messages about customers' allowances: what is used, and what is lent."""

from __future__ import annotations

from .base import Message, message


@message
class CustomerUse(Message):
    """Totals of one customer since the sender's session began.

    `total` was let through, `asked` was asked for; in the customer's unit.
    """

    customer: str
    total: int
    asked: int = 0


@message
class UseReport(Message):
    """What changed of the totals of an entry, or of a lender and its entries.

    `session` tells one count from another that began anew at zero.  The sender
    speaks for `entries` entries.  A lender hears `heard` entries, those of other
    lenders included; `known` is how many entries there are as the sender knows.
    With `begins` the report is the first to this receiver and names all totals
    that are not zero; `is_lender` is true for a lender.
    """

    session: int
    uses: tuple[CustomerUse, ...]
    begins: bool = False
    is_lender: bool = False
    entries: int = 1
    heard: int = 1
    known: int = 1


@message
class AllowanceLease(Message):
    """A part of a customer's allowance, lent to one entry.

    The entry may let through `rate_per_s` and `burst` at once; it begins with
    `level`.
    """

    customer: str
    rate_per_s: int
    burst: int
    level: int


@message
class Borrow(Message):
    """Asks a lender for a single cost that an entry's own part does not cover."""

    customer: str
    cost: int


@message
class Borrowed(Message):
    """Whether a cost was lent; if not, there may be enough in `retry_after_ms`."""

    is_lent: bool
    retry_after_ms: int = 0


@message
class AllowanceLeases(Message):
    """All leases of one entry; they end when nothing is heard for a while.

    A customer that is not named is far below its allowance.
    """

    leases: tuple[AllowanceLease, ...]
