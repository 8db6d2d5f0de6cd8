"""Limits per customer and early refusal."""
