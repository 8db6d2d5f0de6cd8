"""Numbers in headers and events."""

from __future__ import annotations

from ..errors.exchange import NumberTooLarge


def parse_decimal(text: str | bytes, maximum: int) -> int | None:
    """Return a number of ASCII digits, or None if the text is anything else.

    Raises `NumberTooLarge` above `maximum`, however many digits there are.

    >>> parse_decimal('0042', 100), parse_decimal('²', 100), parse_decimal('', 100)
    (42, None, None)
    """
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip('0' if isinstance(text, str) else b'0')
    if len(digits) > len(str(maximum)):
        raise NumberTooLarge(maximum=maximum)
    number = int(digits or '0')
    if number > maximum:
        raise NumberTooLarge(maximum=maximum)
    return number
