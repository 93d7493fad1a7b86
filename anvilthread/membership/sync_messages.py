"""Messages that bring a node into the view and repair differences."""

from typing import Annotated

import msgspec

from anvilthread.membership.digest import FANOUT, PACKED_SIZE
from anvilthread.membership.wire import (
    Change,
    Message,
    Number,
    PackedAddress,
    Record,
)

_DIGESTS_SIZE = FANOUT * PACKED_SIZE
Digests = Annotated[
    bytes, msgspec.Meta(min_length=_DIGESTS_SIZE, max_length=_DIGESTS_SIZE)
]
Group = Annotated[int, msgspec.Meta(ge=0, lt=FANOUT)]
Groups = Annotated[tuple[Group, ...], msgspec.Meta(max_length=FANOUT)]


class Join(Message, frozen=True, kw_only=True, array_like=True, tag=6):
    """Introduces a new member to a seed."""

    record: Record


class JoinReply(Message, frozen=True, kw_only=True, array_like=True, tag=7):
    """Gives a new member some peers to start from."""

    #: Incarnation last known for the address of the new member.
    previous: Number | None
    entries: tuple[Record, ...]


class SyncRoot(Message, frozen=True, kw_only=True, array_like=True, tag=8):
    """Opens a comparison of two tables."""

    round: Number
    root: Annotated[int, msgspec.Meta(ge=0)]


class SyncGroups(Message, frozen=True, kw_only=True, array_like=True, tag=9):
    """Answers with the digests of all groups; none if the roots agree."""

    round: Number
    groups: Digests | None


class SyncBuckets(Message, frozen=True, kw_only=True, array_like=True, tag=10):
    """Goes on with the buckets of a group that differs."""

    round: Number
    group: Group
    buckets: Digests


class SyncSummary(Message, frozen=True, kw_only=True, array_like=True, tag=11):
    """Lists the members of some buckets that differ."""

    round: Number
    group: Group
    #: Positions in the group of the buckets that are listed in full.
    listed: Groups
    summaries: tuple[Change, ...]


class SyncRecords(Message, frozen=True, kw_only=True, array_like=True, tag=12):
    """Gives and asks for whole records."""

    round: Number
    entries: tuple[Record, ...]
    wanted: tuple[PackedAddress, ...] = ()
