"""The balancer daemon."""
