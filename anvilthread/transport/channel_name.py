"""Names of the channels that share one transport."""

from enum import IntEnum


class ChannelName(IntEnum):
    """First byte of every message on a shared transport."""

    CONFIGURATION = 1
    HANDOVER = 2
    OPERATOR = 3
