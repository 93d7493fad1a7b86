"""Chooses the nodes of a site that watch the store."""

import hashlib
from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from anvilthread.address import Address

#: Watchers per site: one may be down and one frozen at the same time.
WATCHERS_PER_SITE: Final = 3

_SCORE_SIZE: Final = 8
_CACHED_SCORES: Final = 16_384


def is_watcher(own: Address, site: Sequence[Address]) -> bool:
    """Tells whether rendezvous hashing chooses a node.

    Args:
        own: Address of the asking node.
        site: Addresses of the live nodes of its site.

    Returns:
        Whether fewer than three other nodes have a higher score.
    """
    score = _score(own)
    higher = sum(1 for address in site if _score(address) > score)
    return higher < WATCHERS_PER_SITE


@lru_cache(maxsize=_CACHED_SCORES)
def _score(address: Address) -> bytes:
    return hashlib.blake2b(address.pack(), digest_size=_SCORE_SIZE).digest()
