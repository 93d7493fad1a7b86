"""Responses of the telemetry endpoint."""


class HttpResponse:
    """An HTTP response: status, media type and body.

    Args:
        status: Status line, for example ``200 OK``.
        content_type: Media type of the body.
        body: The body.
    """

    __slots__ = ('_body', '_content_type', '_status')

    def __init__(self, *, status: str, content_type: str, body: bytes) -> None:
        self._status = status
        self._content_type = content_type
        self._body = body

    @property
    def status(self) -> str:
        """Status line."""
        return self._status

    @property
    def content_type(self) -> str:
        """Media type of the body."""
        return self._content_type

    @property
    def body(self) -> bytes:
        """The body."""
        return self._body
