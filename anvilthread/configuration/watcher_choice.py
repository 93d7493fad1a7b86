"""Selects the nodes of a site that watch the store."""

import hashlib
from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from anvilthread.address import Address

#: Watchers per site: one may be down and one frozen at the same time.
WATCHERS_PER_SITE: Final = 3

_SCORE_BYTES: Final = 8
_CACHED_SCORES: Final = 16_384


def is_watcher(node: Address, site_nodes: Sequence[Address]) -> bool:
    """Returns whether rendezvous hashing selects a node as a watcher.

    Args:
        node: Address of the node.
        site_nodes: Addresses of the live nodes of its site.

    Returns:
        Whether fewer than three other nodes have a higher score.
    """
    score = _score(node)
    higher = sum(1 for address in site_nodes if _score(address) > score)
    return higher < WATCHERS_PER_SITE


@lru_cache(maxsize=_CACHED_SCORES)
def _score(address: Address) -> bytes:
    return hashlib.blake2b(address.pack(), digest_size=_SCORE_BYTES).digest()
