"""Timing model of an engine with continuous batching."""
