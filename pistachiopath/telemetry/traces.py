"""OpenTelemetry spans, exported to a file with one JSON document per line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

if TYPE_CHECKING:
    from opentelemetry.context import Context
    from opentelemetry.trace import Span

_propagator = TraceContextTextMapPropagator()


def create_tracer(program: str, node: str, path: str) -> trace.Tracer:
    """Return a tracer that appends to a file; a no-op one if `path` is empty."""
    if not path:
        return trace.NoOpTracer()
    resource = Resource.create({'service.name': program, 'host.name': node})
    provider = TracerProvider(resource=resource)
    file = open(path, 'a', encoding='utf-8')  # noqa: SIM115
    exporter = ConsoleSpanExporter(
        out=file, formatter=lambda span: span.to_json(indent=None) + '\n'
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer(program)


def context_of(traceparent: str) -> Context:
    """Return the trace context in a `traceparent` header."""
    return _propagator.extract({'traceparent': traceparent})


def traceparent_of(span: Span) -> str:
    """Return the `traceparent` header of a span; empty without a valid context."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', '')


def child(tracer: trace.Tracer, name: str, parent: Context) -> Span:
    """Start a span that is a child of the span in a context."""
    return tracer.start_span(name, context=parent)
