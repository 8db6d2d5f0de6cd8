"""Helpers that several programs share."""
