"""Issues execution keys of this agent."""

import itertools
from typing import Final

from anvilthread.clock import Clock
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.execution_key import ExecutionKey
from anvilthread.outcomes.key_sealer import KeySealer

#: Path at which clients get a key.
KEY_PATH: Final = '/.well-known/anvilthread/execution-key'


class KeyIssuer:
    """Numbers and seals execution keys.

    Args:
        clock: Clock of the expiry.
        identity: This agent.
        sealer: Sealing keys.
        lifetime_ms: Time for which a key can be used.
    """

    __slots__ = ('_clock', '_identity', '_lifetime_ms', '_numbers', '_sealer')

    def __init__(
        self,
        *,
        clock: Clock,
        identity: AgentIdentity,
        sealer: KeySealer,
        lifetime_ms: int,
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._sealer = sealer
        self._lifetime_ms = lifetime_ms
        self._numbers = itertools.count()

    @property
    def lifetime_ms(self) -> int:
        """Time for which a key can be used."""
        return self._lifetime_ms

    def issue(self, service: int) -> str:
        """Returns a new key for one service."""
        key = ExecutionKey(
            service=service,
            owner=self._identity.address,
            incarnation=self._identity.incarnation,
            expires_ms=self._clock.now_ms() + self._lifetime_ms,
            number=next(self._numbers),
        )
        return self._sealer.seal(key)
