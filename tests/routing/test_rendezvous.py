"""Weighted rendezvous hashing and subsetting."""

from collections import Counter

import pytest

from anvilthread.address import Address
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.rendezvous import best_two, hash_key, top_nodes
from anvilthread.routing.subset import Subset, assigned_balancers

KEYS = tuple(hash_key(number.to_bytes(4, 'big')) for number in range(20_000))


def test_removal_moves_only_keys_of_the_node() -> None:
    """Guards against a removed node that moves unrelated flows."""
    nodes = [(address, 1) for address in _addresses(7)]
    removed = nodes[3][0]
    remaining = [node for node in nodes if node[0] != removed]
    for key in KEYS[:2000]:
        before = top_nodes(key, nodes, 2)
        after = top_nodes(key, remaining, 1)[0]
        assert after == (before[1] if before[0] == removed else before[0])


def test_order_of_nodes_does_not_matter() -> None:
    """Guards against disagreement of balancers with other node orders."""
    nodes = [(address, 1) for address in _addresses(7)]
    for key in KEYS[:500]:
        assert top_nodes(key, nodes, 3) == top_nodes(
            key, list(reversed(nodes)), 3
        )


def test_higher_weight_only_attracts_keys() -> None:
    """Guards against a weight change that moves keys between other nodes."""
    nodes = [(address, 1.0) for address in _addresses(5)]
    heavier = [(nodes[0][0], 2.0), *nodes[1:]]
    for key in KEYS[:2000]:
        before = top_nodes(key, nodes, 1)[0]
        after = top_nodes(key, heavier, 1)[0]
        assert after in {before, nodes[0][0]}


@pytest.mark.parametrize('weights', [(1, 1, 1), (1, 2, 4), (0.2, 1, 1, 3)])
def test_shares_follow_weights(weights: tuple[float, ...]) -> None:
    """Guards against a hash that favours some nodes.

    The limit is five standard deviations of the binomial share.
    """
    hashes = [hash_key(bytes([number])) for number in range(len(weights))]
    chosen = Counter(
        best_two(key, hashes, weights, range(len(weights)))[0] for key in KEYS
    )
    for index, weight in enumerate(weights):
        share = weight / sum(weights)
        deviation = (share * (1 - share) / len(KEYS)) ** 0.5
        assert abs(chosen[index] / len(KEYS) - share) <= 5 * deviation


def test_second_choice_is_spread() -> None:
    """Guards against one alternate for all flows of an agent."""
    hashes = [hash_key(bytes([number])) for number in range(4)]
    pairs = Counter(best_two(key, hashes, (1,) * 4, range(4)) for key in KEYS)
    assert len(pairs) == 12
    assert max(pairs.values()) < 1.2 * len(KEYS) / 12


@pytest.mark.parametrize(
    ('indices', 'expected'), [((), (-1, -1)), ((2,), (2, -1))]
)
def test_too_few_nodes(
    indices: tuple[int, ...], expected: tuple[int, int]
) -> None:
    """Guards against an index without a node."""
    assert best_two(KEYS[0], [1, 2, 3], [1, 1, 1], indices) == expected


@pytest.mark.parametrize('balancers', [1, 3, 10, 40])
def test_subsets_leave_no_agent_out(balancers: int) -> None:
    """Guards against an agent that no balancer uses."""
    candidates = _candidates(200)
    peers = _addresses(balancers, host='10.0.1.1')
    used = Counter(
        candidate.agent
        for peer in peers
        for candidate in Subset(balancer=peer).select(candidates, peers)
    )
    assert len(used) == 200
    assert min(used.values()) >= min(balancers, 4)


def test_subset_size_is_bounded() -> None:
    """Guards against balancers that use most agents of a large service.

    Each of these agents sends them reports.
    """
    candidates = _candidates(200)
    peers = _addresses(40, host='10.0.1.1')
    sizes = [
        len(Subset(balancer=peer).select(candidates, peers)) for peer in peers
    ]
    assert max(sizes) <= 2 * 4 * 200 / 40
    assert min(sizes) >= 16


def test_subset_is_stable_under_changes() -> None:
    """Guards against a lost balancer that changes all assignments."""
    agents = _addresses(200)
    peers = _addresses(10, host='10.0.1.1')
    for agent in agents:
        before = assigned_balancers(agent, peers)
        after = assigned_balancers(agent, peers[1:])
        assert len(set(before) & set(after)) >= 3


@pytest.mark.parametrize('size', [1, 7, 32])
def test_small_service_is_used_whole(size: int) -> None:
    """Guards against a balancer that omits an agent of a small service."""
    candidates = _candidates(size)
    peers = _addresses(50, host='10.0.1.1')
    for peer in peers:
        assert Subset(balancer=peer).select(candidates, peers) == candidates


def _addresses(count: int, host: str = '10.0.2.1') -> list[Address]:
    return [Address(host=host, port=port) for port in range(1, count + 1)]


def _candidates(count: int) -> list[Candidate]:
    return [Candidate(agent=agent) for agent in _addresses(count)]
