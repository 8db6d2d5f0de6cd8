"""Adapter to the users' platform: its settings, headers, paths and control API."""
