"""The interface that forwards requests to the owner of their key."""

from typing import Protocol

from anvilthread.address import Address
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.single_answer import SingleAnswer


class OwnerLink(Protocol):
    """Forwards requests with a key to the owner of the key."""

    def forward(
        self, owner: Address, request: Request, answer: SingleAnswer
    ) -> Outcome:
        """Forwards a request to the owner, which decides whether it runs.

        Args:
            owner: Request address of the issuing agent.
            request: The request with its key.
            answer: Receiver of the answer.

        Returns:
            The owner's outcome; *unknown* if the owner does not answer.
        """
