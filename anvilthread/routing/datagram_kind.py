"""Kinds of encapsulated datagrams."""

from enum import IntEnum


class DatagramKind(IntEnum):
    """What an encapsulated datagram between balancer and agent carries."""

    #: A packet of an established connection, from a client.
    FORWARD = 1

    #: A first packet that a balancer has placed on the agent.
    PLACE = 2

    #: A packet for a client.
    ANSWER = 3

    #: A load report on its own.
    REPORT = 4
