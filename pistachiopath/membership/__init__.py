"""Announcements, incarnations and leases of targets."""
