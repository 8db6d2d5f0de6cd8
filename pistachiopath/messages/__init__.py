"""Typed messages exchanged by the processes and stored in the log."""
