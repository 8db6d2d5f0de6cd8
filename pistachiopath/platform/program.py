"""Interface of the platform's programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .settings import PlatformSettings


class Program(Protocol):
    """Interface that `main` uses to run a program."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> None:
        """Stop gracefully."""

    def reload(self, cfg: PlatformSettings) -> None:
        """Apply changed settings."""
