"""The agent, a process that runs beside each target."""
