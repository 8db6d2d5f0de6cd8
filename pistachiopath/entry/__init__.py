"""The entry: HTTP for callers, claims, routing and relay of answers."""
