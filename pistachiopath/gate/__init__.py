"""The agent's gate: runs each request at most once, in priority order."""
