"""The interface towards the target."""

from typing import Protocol

from anvilthread.admission.slot import Slot
from anvilthread.outcomes import Outcome, Request, SingleAnswer


class Edge(Protocol):
    """Runs requests on one target; never sends a request twice by itself."""

    def run(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Sends a request and passes the answer on as it arrives.

        Args:
            request: What to run.
            answer: Receiver of head, chunks and end.
            slot: Released when the exchange with the target has ended, which
                can be later than the return of this method.

        Returns:
            What is certain about the execution.
        """
