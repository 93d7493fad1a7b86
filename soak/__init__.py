"""Randomized, seeded soak tests of the real programs under faults."""
