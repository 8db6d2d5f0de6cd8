"""The gate of an engine: runs each request at most once, in priority order."""
