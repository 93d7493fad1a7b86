"""The interface that runs requests."""

from typing import Protocol

from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.single_answer import SingleAnswer


class Runner(Protocol):
    """Runs a request at most once and returns its outcome."""

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs a request and forwards its answer as it arrives.

        Args:
            request: The request to run.
            answer: Receiver of head, chunks and end. The runner never calls
                ``fail`` on it; the caller reports the returned outcome.

        Returns:
            *Answered* only if the end of the answer has been forwarded.
        """
