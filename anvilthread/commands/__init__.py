"""The ``anvilthread`` command line."""
