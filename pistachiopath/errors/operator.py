"""Errors that the operators' command line reports."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class ControlUnavailable(PistachiopathError):
    """No control replica answered before the timeout."""

    question: str

    def __str__(self) -> str:
        return f'no control replica answered {self.question} in time'


@dataclass(kw_only=True)
class Outrun(PistachiopathError):
    """Another configuration was accepted first, based on the same revision."""

    revision: int
    digest: str

    def __str__(self) -> str:
        return (
            f'revision {self.revision} is in force now, with the content '
            f'{self.digest}; look at it before you accept another'
        )


@dataclass(kw_only=True)
class NotEverywhere(PistachiopathError):
    """A configuration was accepted, but the processes in `behind` did not report it."""

    revision: int
    behind: tuple[str, ...]

    def __str__(self) -> str:
        names = ', '.join(self.behind)
        return f'revision {self.revision} is accepted; not yet seen at: {names}'
