"""Base class of the package's exceptions."""

from __future__ import annotations


class PistachiopathError(Exception):
    """Base class of all exceptions that the package raises."""
