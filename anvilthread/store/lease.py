"""A lease of the store."""

from msgspec import Struct

from anvilthread.clock import Clock


class Lease(Struct, frozen=True, kw_only=True):
    """The right to act under a name for a limited time.

    A paused holder may resume after its lease has lapsed, so a lease alone
    grants no authority: a component that acts on a holder's request checks
    the fencing number.

    Attributes:
        name: Key of the lease in the store.
        session: Session of the holder in the store.
        fencing: Number that grows with every new holder.
        ttl_ms: Time to live after a renewal.
        expires_ms: Monotonic time of the holder at which the lease lapses.
    """

    name: str
    session: str
    fencing: int
    ttl_ms: int
    expires_ms: int

    def has_lapsed(self, clock: Clock) -> bool:
        """Returns whether the time to live is over."""
        return clock.now_ms() >= self.expires_ms
