"""Developers' tools; not part of the package."""
