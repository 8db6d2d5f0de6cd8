"""Quarantine of request content suspected of crashing targets."""
