"""The way to the agent that issued a key."""

from typing import Protocol

from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.single_answer import SingleAnswer


class OwnerLink(Protocol):
    """Forwards requests with a key to the owner of the key."""

    def forward(
        self, owner: AgentIdentity, request: Request, answer: SingleAnswer
    ) -> Outcome:
        """Lets the owner decide and passes its answer on.

        Returns:
            The owner's outcome. It is *unknown* if the owner does not
            answer or is another incarnation.
        """
