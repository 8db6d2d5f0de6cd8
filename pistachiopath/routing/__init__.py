"""Choice of the target or replica for a request."""
