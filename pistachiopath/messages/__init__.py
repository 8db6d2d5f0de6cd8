"""Typed messages that processes exchange or store in the replicated log."""
