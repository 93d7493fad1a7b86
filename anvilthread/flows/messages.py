"""All messages between nodes."""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from anvilthread.flows.node_messages import Hello, Leaving, LoadReport, Peers
from anvilthread.flows.packet_messages import (
    Forward,
    Place,
    Queued,
    Refused,
    Withdraw,
)
from anvilthread.flows.search_messages import (
    Ask,
    Held,
    Locate,
    Located,
    NotHeld,
)

AnyMessage: TypeAlias = (
    Forward
    | Place
    | Refused
    | Queued
    | Withdraw
    | Ask
    | Held
    | Locate
    | Located
    | NotHeld
    | Hello
    | Leaving
    | LoadReport
    | Peers
)

#: Handler of each type of message; called with the host of the sender.
MessageHandlers: TypeAlias = Mapping[type, Callable[[str, Any], None]]
