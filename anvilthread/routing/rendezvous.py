"""Weighted rendezvous hashing."""

import hashlib
import math
from collections.abc import Iterable, Sequence
from typing import Final

from anvilthread.address import Address

_HASH_SIZE: Final = 8
_MASK: Final = 0xFFFFFFFFFFFFFFFF
# Multipliers of the splitmix64 finaliser family (Steele, Lea, Flood 2014).
_MIX_1: Final = 0xBF58476D1CE4E5B9
_MIX_2: Final = 0x94D049BB133111EB
_HALF_SHIFT: Final = 32
# A 52-bit integer plus 0.5 is exact in a float, so the logarithm is never 0.
_UNIT_SHIFT: Final = 12
_UNIT: Final = 1 / 2**52


def hash_key(key: bytes) -> int:
    """Returns a 64-bit hash that depends only on the bytes of the key."""
    digest = hashlib.blake2b(key, digest_size=_HASH_SIZE).digest()
    return int.from_bytes(digest, 'big')


def hash_address(address: Address) -> int:
    """Returns a 64-bit hash that depends only on the address."""
    return hash_key(address.pack())


def score(key_hash: int, node_hash: int, weight: float = 1) -> float:
    """Returns the score of a node for a key; the highest score is selected.

    The probability that a node has the highest score is proportional to its
    weight, and a change of one node's weight moves keys only to or from that
    node (Schindelhauer and Schomaker, 2005).
    """
    mixed = ((key_hash ^ node_hash) * _MIX_1) & _MASK
    mixed = ((mixed ^ (mixed >> _HALF_SHIFT)) * _MIX_2) & _MASK
    high = (mixed ^ (mixed >> _HALF_SHIFT)) >> _UNIT_SHIFT
    return -weight / math.log((high + 0.5) * _UNIT)


def best_two(
    key_hash: int,
    node_hashes: Sequence[int],
    weights: Sequence[float],
    indices: Iterable[int],
) -> tuple[int, int]:
    """Returns the indices with the two highest scores, best first.

    Args:
        key_hash: Hash of the key.
        node_hashes: Hash of each node.
        weights: Weight of each node; above 0.
        indices: Nodes to choose from.

    Returns:
        Two indices; -1 if there is no such node.
    """
    first = -1
    second = -1
    best: float = 0
    next_best: float = 0
    for index in indices:
        rank = score(key_hash, node_hashes[index], weights[index])
        if rank > best:
            second, next_best = first, best
            first, best = index, rank
        elif rank > next_best:
            second, next_best = index, rank
    return first, second


def top_nodes(
    key_hash: int, nodes: Iterable[tuple[Address, float]], count: int
) -> list[Address]:
    """Returns the nodes with the highest scores, best first.

    Args:
        key_hash: Hash of the key.
        nodes: Address and weight of each node.
        count: Maximum number of nodes to return.
    """
    scored = sorted(
        (
            (score(key_hash, hash_address(address), weight), address)
            for address, weight in nodes
        ),
        reverse=True,
    )
    return [address for _, address in scored[:count]]
