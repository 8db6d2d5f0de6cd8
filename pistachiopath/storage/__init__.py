"""Synced records and snapshots in the data folder."""
