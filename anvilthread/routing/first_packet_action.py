"""What an agent does with a first packet."""

from enum import Enum


class FirstPacketAction(Enum):
    """Decision of an agent on a first packet placed on it."""

    #: Opens the connection.
    ACCEPT = 'accept'

    #: Forwards the packet to the alternate, with the hop count raised.
    PASS_ON = 'pass-on'

    #: Discards the packet; the client repeats it.
    DROP = 'drop'
