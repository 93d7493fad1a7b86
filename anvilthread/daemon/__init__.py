"""What the two daemons share."""
