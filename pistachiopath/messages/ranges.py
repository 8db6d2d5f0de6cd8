"""Ranges of the numbers in messages."""

from __future__ import annotations

# Integers are encoded with 64 bits.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
# Largest integer that a float holds exactly.  Numbers up to it can be added and
# multiplied by small factors without leaving the range of integers.
MAX_EXACT = 2**53 - 1
# Cost of one request in tokens.  Totals of the requests of years stay in the range
# of integers.
MAX_TOKENS = 2**31 - 1
