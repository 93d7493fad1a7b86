"""States of a member."""

from enum import IntEnum


class MemberState(IntEnum):
    """What the view says about one incarnation of a member.

    Within an incarnation a higher value replaces a lower one, so that all
    nodes settle on the same state whatever the order of the messages.
    """

    ALIVE = 0

    #: Did not answer probes; still counted as live until declared dead.
    SUSPECT = 1

    #: Takes no new work; serves what it has.
    DRAINING = 2

    DEAD = 3

    #: Stopped as planned.
    LEFT = 4
