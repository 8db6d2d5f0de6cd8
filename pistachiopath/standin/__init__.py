"""Stand-ins for engines and plain services."""
