"""Headers that are forwarded between the client and the target."""

from collections.abc import Iterable, Iterator
from typing import Final

from urllib3 import HTTPHeaderDict
from urllib3.util import SKIP_HEADER

from anvilthread.outcomes import Request
from anvilthread.outcomes.request_classifier import DEADLINE_HEADER

#: Hop-by-hop headers (RFC 9110, 7.6.1), which are never forwarded.
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_REPLACED: Final = frozenset(('content-length', 'expect', DEADLINE_HEADER))
_USER_AGENT: Final = 'user-agent'


def request_headers(request: Request, left_ms: int) -> HTTPHeaderDict:
    """Returns the headers for the target.

    Args:
        request: The client's request.
        left_ms: Remaining time to the deadline.
    """
    headers = HTTPHeaderDict()
    for name, text in _end_to_end(request.headers):
        if name.lower() not in _REPLACED:
            headers.add(name, text)
    if _USER_AGENT not in headers:
        headers[_USER_AGENT] = SKIP_HEADER
    headers[DEADLINE_HEADER] = str(left_ms)
    if request.body.length is None:
        headers['transfer-encoding'] = 'chunked'
    elif request.body.length or request.method not in {'GET', 'HEAD'}:
        headers['content-length'] = str(request.body.length)
    return headers


def response_headers(headers: HTTPHeaderDict) -> list[tuple[str, str]]:
    """Returns the headers for the client, in lower case."""
    pairs = _end_to_end(headers.iteritems())
    return [(name.lower(), text) for name, text in pairs]


def _end_to_end(
    pairs: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    all_pairs = list(pairs)
    connection_options = {
        option.strip().lower()
        for name, text in all_pairs
        if name.lower() == 'connection'
        for option in text.split(',')
    }
    not_forwarded = _HOP_BY_HOP | connection_options
    return (pair for pair in all_pairs if pair[0].lower() not in not_forwarded)
