"""Service-level burn reports and replay of recorded traces."""
