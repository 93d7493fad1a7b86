"""Bodies of the Consul HTTP API."""

from msgspec import Struct


class KeyEntry(Struct, frozen=True, kw_only=True, rename='pascal'):
    """One element of the answer to ``GET /v1/kv/KEY``.

    The JSON codec turns the Base64 text of the value into bytes.
    """

    modify_index: int
    value: bytes | None = None
    session: str | None = None


class SessionRequest(
    Struct,
    frozen=True,
    kw_only=True,
    rename={'ttl': 'TTL', 'behavior': 'Behavior', 'lock_delay': 'LockDelay'},
):
    """Body of ``PUT /v1/session/create``."""

    ttl: str
    behavior: str = 'release'
    lock_delay: str = '0s'


class SessionCreated(
    Struct, frozen=True, kw_only=True, rename={'session_id': 'ID'}
):
    """Answer to ``PUT /v1/session/create``."""

    session_id: str
