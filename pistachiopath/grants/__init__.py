"""Places on an engine: which requests are sent to it, and in which order."""
