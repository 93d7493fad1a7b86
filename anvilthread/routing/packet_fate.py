"""Results of packet handling."""

from enum import StrEnum


class PacketFate(StrEnum):
    """Result of the handling of a packet by an agent or a balancer."""

    FORWARDED = 'forwarded'
    PLACED = 'placed'
    PASSED_ON = 'passed_on'
    ANSWERED = 'answered'
    RESET = 'reset'
    DROPPED_FORGED = 'dropped_forged'
    DROPPED_MALFORMED = 'dropped_malformed'
    DROPPED_WRONG_SERVICE = 'dropped_wrong_service'
    DROPPED_UNKNOWN_CONNECTION = 'dropped_unknown_connection'
    DROPPED_UNKNOWN_ADDRESS = 'dropped_unknown_address'
    DROPPED_NO_AGENT = 'dropped_no_agent'
    DROPPED_OVER_LIMIT = 'dropped_over_limit'
    DROPPED_NOT_INITIAL = 'dropped_not_initial'
    DROPPED_UNREACHABLE = 'dropped_unreachable'
