"""Messages that transfer the whole table to a new member."""

from typing import Annotated

import msgspec

from anvilthread.membership.digest import BUCKETS
from anvilthread.membership.wire import Message, Record

Bucket = Annotated[int, msgspec.Meta(ge=0, le=BUCKETS)]


class FetchRequest(Message, frozen=True, kw_only=True, array_like=True, tag=13):
    """Requests the live members of a range of buckets."""

    first: Bucket
    end: Bucket


class FetchReply(Message, frozen=True, kw_only=True, array_like=True, tag=14):
    """Returns as many whole buckets as fit into one message."""

    first: Bucket
    #: First bucket that did not fit.
    following: Bucket
    entries: tuple[Record, ...]
