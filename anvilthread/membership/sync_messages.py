"""Messages of joins and of table comparisons (anti-entropy)."""

from typing import Annotated

import msgspec

from anvilthread.membership.digest import FANOUT, PACKED_DIGEST_BYTES
from anvilthread.membership.wire import (
    Change,
    Message,
    Number,
    PackedAddress,
    Record,
)

_DIGESTS_BYTES = FANOUT * PACKED_DIGEST_BYTES
Digests = Annotated[
    bytes, msgspec.Meta(min_length=_DIGESTS_BYTES, max_length=_DIGESTS_BYTES)
]
Group = Annotated[int, msgspec.Meta(ge=0, lt=FANOUT)]
Groups = Annotated[tuple[Group, ...], msgspec.Meta(max_length=FANOUT)]


class Join(Message, frozen=True, kw_only=True, array_like=True, tag=6):
    """Announces a new member to a seed."""

    record: Record


class JoinReply(Message, frozen=True, kw_only=True, array_like=True, tag=7):
    """Returns records of some members to a new member."""

    #: Last incarnation of an earlier process at the address of the member.
    previous: Number | None
    entries: tuple[Record, ...]


class SyncRoot(Message, frozen=True, kw_only=True, array_like=True, tag=8):
    """Starts a comparison of two tables."""

    round: Number
    root: Annotated[int, msgspec.Meta(ge=0)]


class SyncGroups(Message, frozen=True, kw_only=True, array_like=True, tag=9):
    """Returns the digests of all groups, or None if the roots are equal."""

    round: Number
    groups: Digests | None


class SyncBuckets(Message, frozen=True, kw_only=True, array_like=True, tag=10):
    """Sends the bucket digests of one group that differs."""

    round: Number
    group: Group
    buckets: Digests


class SyncSummary(Message, frozen=True, kw_only=True, array_like=True, tag=11):
    """Lists the members of as many differing buckets as fit."""

    round: Number
    group: Group
    #: Positions in the group of the buckets that are listed in full.
    listed: Groups
    summaries: tuple[Change, ...]


class SyncRecords(Message, frozen=True, kw_only=True, array_like=True, tag=12):
    """Sends records and requests records of other members."""

    round: Number
    entries: tuple[Record, ...]
    wanted: tuple[PackedAddress, ...] = ()
