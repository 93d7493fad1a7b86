"""Benchmarks; every speed is a ratio within one run."""
