"""Timing model of a continuously batching engine."""
