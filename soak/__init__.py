"""Randomized, seeded soak of the real programs under faults."""
