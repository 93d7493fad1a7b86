"""Routing of packets to agents: placement, connection IDs, load reports."""
