"""Exceptions, and the final outcomes of requests."""
