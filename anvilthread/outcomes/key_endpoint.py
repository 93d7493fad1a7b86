"""The path at which clients get execution keys."""

import msgspec

from anvilthread.outcomes.key_issuer import KEY_PATH, KeyIssuer
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.single_answer import SingleAnswer


class KeyEndpoint:
    """Answers requests for execution keys and forwards all others.

    Args:
        issuer: Source of the keys.
        runner: Runs every other request.
    """

    __slots__ = ('_issuer', '_runner')

    def __init__(self, *, issuer: KeyIssuer, runner: Runner) -> None:
        self._issuer = issuer
        self._runner = runner

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Issues a key, or runs a request for another path."""
        path, _, _ = request.path.partition('?')
        if path != KEY_PATH or request.method != 'GET':
            return self._runner.run(request, answer)
        content = msgspec.json.encode(
            {
                'key': self._issuer.issue(request.service),
                'expires_in_ms': self._issuer.lifetime_ms,
            }
        )
        try:
            _answer(content, answer)
        except ClientGoneError:
            return Outcome.unknown(Reason.CANCELLED, 'the client left')
        return Outcome.answered()


def _answer(content: bytes, answer: SingleAnswer) -> None:
    headers = (
        ('content-type', 'application/json'),
        ('content-length', str(len(content))),
        # Two clients with one cached key would repeat each other's request.
        ('cache-control', 'no-store'),
    )
    answer.head(200, headers)
    answer.chunk(content)
    answer.end()
