"""Messages that bring the whole table to a new member."""

from typing import Annotated

import msgspec

from anvilthread.membership.digest import BUCKETS
from anvilthread.membership.wire import Message, Record

Bucket = Annotated[int, msgspec.Meta(ge=0, le=BUCKETS)]


class Fetch(Message, frozen=True, kw_only=True, array_like=True, tag=13):
    """Asks for the live members of some buckets, as far as they fit."""

    first: Bucket
    end: Bucket


class Fetched(Message, frozen=True, kw_only=True, array_like=True, tag=14):
    """Answers a :class:`Fetch`."""

    first: Bucket
    #: First bucket that did not fit.
    following: Bucket
    entries: tuple[Record, ...]
