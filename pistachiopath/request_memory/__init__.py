"""Bound on the memory that requests in progress hold."""
