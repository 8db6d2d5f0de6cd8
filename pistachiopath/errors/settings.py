"""Errors in settings files and questionnaires."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True, frozen=True)
class Finding:
    """One error in a file, with the value that was expected."""

    file: str
    key: str
    reason: str
    expected: str

    def __str__(self) -> str:
        return f'{self.file}: {self.key}: {self.reason} (expected: {self.expected})'


@dataclass(kw_only=True)
class InvalidFile(PistachiopathError):
    """A file is unreadable or invalid; holds every finding."""

    findings: tuple[Finding, ...]

    def __str__(self) -> str:
        return '\n'.join(str(finding) for finding in self.findings)
