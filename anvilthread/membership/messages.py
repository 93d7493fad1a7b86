"""Decoding of membership messages."""

from typing import Final

import msgspec

from anvilthread.decoding import DECODE_ERRORS
from anvilthread.membership.fetch_messages import FetchReply, FetchRequest
from anvilthread.membership.probe_messages import (
    Ack,
    Gossip,
    IndirectAck,
    IndirectPing,
    Ping,
)
from anvilthread.membership.sync_messages import (
    Join,
    JoinReply,
    SyncBuckets,
    SyncGroups,
    SyncRecords,
    SyncRoot,
    SyncSummary,
)
from anvilthread.membership.wire import Message

_AnyMessage = (
    Ping
    | Ack
    | IndirectPing
    | IndirectAck
    | Gossip
    | Join
    | JoinReply
    | SyncRoot
    | SyncGroups
    | SyncBuckets
    | SyncSummary
    | SyncRecords
    | FetchRequest
    | FetchReply
)
_DECODER: Final = msgspec.msgpack.Decoder(_AnyMessage)


def decode(payload: bytes) -> Message | None:
    """Returns the message, or None if the payload is malformed."""
    try:
        return _DECODER.decode(payload)
    except DECODE_ERRORS:
        return None
