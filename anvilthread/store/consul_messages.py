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


class KeyOperation(Struct, frozen=True, kw_only=True, rename='pascal'):
    """Operation on one key in a transaction.

    The JSON codec turns the bytes of the value into Base64 text.
    """

    verb: str
    key: str
    value: bytes = b''
    index: int = 0


class Operation(
    Struct, frozen=True, kw_only=True, rename={'key_operation': 'KV'}
):
    """One element of the body of ``PUT /v1/txn``."""

    key_operation: KeyOperation


class SessionCreated(
    Struct, frozen=True, kw_only=True, rename={'session_id': 'ID'}
):
    """Answer to ``PUT /v1/session/create``."""

    session_id: str
