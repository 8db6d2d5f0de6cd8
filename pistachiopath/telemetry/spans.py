"""Interface to the spans of a process, and its no-op implementation."""

from __future__ import annotations

from typing import Protocol


class OpenSpan(Protocol):
    """A span that has been started."""

    def end(self) -> None:
        """End the span now."""


class Spans(Protocol):
    """Starts spans."""

    def begin(self, name: str) -> OpenSpan:
        """Start a span now and return it."""


class NoSpans:
    """Records nothing.

    It returns itself as each span, so a span may be ended any number of times.
    """

    def begin(self, name: str) -> OpenSpan:
        """Return a span that is not recorded."""
        return self

    def end(self) -> None:
        """Do nothing."""
