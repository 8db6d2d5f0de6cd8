"""The last gate before an engine: one run per request, priority queue."""
