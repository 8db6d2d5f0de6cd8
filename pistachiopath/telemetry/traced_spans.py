"""Spans recorded with OpenTelemetry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .traces import create_tracer

if TYPE_CHECKING:
    from opentelemetry.trace import Span


class TracedSpans:
    """Appends the spans of one program to a file, one JSON document per line."""

    def __init__(self, *, program: str, node: str, path: str) -> None:
        self._tracer = create_tracer(program, node, path)

    def begin(self, name: str) -> Span:
        """Start a span without a parent now and return it."""
        return self._tracer.start_span(name)
