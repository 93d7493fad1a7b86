"""Stand-ins for outside systems, and clusters in virtual time.

Used by tests, the soak, the demo, benchmarks and examples.
"""
