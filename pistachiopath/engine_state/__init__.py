"""Current capability of an engine: memory, failures and speed."""
