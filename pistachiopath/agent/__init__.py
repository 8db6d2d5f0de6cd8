"""The agent program: the process beside each target."""
