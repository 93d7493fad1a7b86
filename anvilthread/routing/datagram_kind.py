"""Kinds of encapsulated datagrams."""

from enum import IntEnum


class DatagramKind(IntEnum):
    """Content of an encapsulated datagram between balancer and agent."""

    #: A packet from a client on an established connection.
    FORWARD = 1

    #: A first packet that a balancer has placed on the agent.
    PLACE = 2

    #: A packet for a client.
    ANSWER = 3

    #: A load report without a packet.
    REPORT = 4
