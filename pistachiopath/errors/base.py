"""Base of every failure that the package raises."""

from __future__ import annotations


class PistachiopathError(Exception):
    """Base of every failure that the package raises."""
