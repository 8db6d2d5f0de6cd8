"""What an entry knows after its start, and requests that wait until it knows enough."""
