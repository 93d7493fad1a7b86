"""Demonstration of the whole path as separate processes."""
