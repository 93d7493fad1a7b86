"""Error for answers that nobody waits for."""

from anvilthread.error import AnvilthreadError


class ClientGoneError(AnvilthreadError):
    """The client has cancelled the request or its connection has ended."""
