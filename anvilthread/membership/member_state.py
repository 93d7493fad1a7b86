"""States of a member."""

from enum import IntEnum


class MemberState(IntEnum):
    """State of one incarnation of a member.

    Within an incarnation a higher value replaces a lower one, so that all
    nodes converge on the same state whatever the order of the messages.
    """

    ALIVE = 0

    #: Did not answer probes; still counted as live until declared dead.
    SUSPECT = 1

    #: Accepts no new work; finishes the work that it has.
    DRAINING = 2

    DEAD = 3

    #: Announced a planned stop.
    LEFT = 4
