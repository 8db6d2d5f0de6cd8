"""Path of a request through an entry that needs no claims at control nodes."""
