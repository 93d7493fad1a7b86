"""The interface to the target."""

from typing import Protocol

from anvilthread.admission.slot import Slot
from anvilthread.outcomes import Outcome, Request, SingleAnswer


class Edge(Protocol):
    """Runs requests on one target; never retries a request by itself."""

    def run(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Sends a request and streams the answer.

        Args:
            request: The request to run.
            answer: Receiver of head, chunks and end.
            slot: Released when the exchange with the target has ended, which
                may be after this method returns.

        Returns:
            The outcome of the execution, as far as it is known.
        """
