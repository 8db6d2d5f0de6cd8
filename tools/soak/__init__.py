"""Fault soak: the platform's programs as real processes, under seeded faults."""
