"""Actions of an agent on a first packet."""

from enum import Enum


class FirstPacketAction(Enum):
    """Decision of an agent on a first packet placed on it."""

    #: Open the connection.
    ACCEPT = 'accept'

    #: Forward the packet to the alternate with an incremented hop count.
    PASS_ON = 'pass-on'

    #: Discard the packet; the client retransmits it.
    DROP = 'drop'
