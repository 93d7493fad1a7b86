"""What an agent does with an opening packet."""

from enum import Enum

import msgspec


class OpeningAction(Enum):
    """The three ways to handle an opening packet."""

    DELIVER = 'deliver'
    QUEUE = 'queue'
    REFUSE = 'refuse'


class OpeningDecision(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """An action and its reason.

    Attributes:
        action: What becomes of the packet.
        reason: Why it is refused; empty otherwise.
        wait_ms: Expected wait of the packet at this agent.
    """

    action: OpeningAction
    reason: str = ''
    wait_ms: int = 0
