"""Errors in the operators' configuration and in announcements."""

from __future__ import annotations

from dataclasses import dataclass

from ..util.plain_text import shortened
from .base import PistachiopathError


@dataclass(kw_only=True)
class InvalidConfiguration(PistachiopathError):
    """A configuration or announcement is invalid and must not be applied.

    `where` names the invalid part, such as a route, and `reason` the error.  The
    text of the error holds the beginning of `where`, which may be long.
    """

    where: str
    reason: str

    def __str__(self) -> str:
        return f'{shortened(self.where)}: {self.reason}'
