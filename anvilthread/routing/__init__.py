"""Which agent a packet belongs to."""
