"""Typed outcomes and failures."""
