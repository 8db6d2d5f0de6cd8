"""The replicated log: elections, commit, repair and membership."""
