"""Digests of the member table that find differences in few bytes."""

import hashlib
import struct
from array import array
from typing import Final

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState

#: Groups of a table, and buckets of a group. 64 times 64 buckets hold about
#: 12 members each at 48,500 members, which one datagram describes.
FANOUT: Final = 64

BUCKETS: Final = FANOUT * FANOUT

#: Bytes of one packed digest on the wire.
PACKED_SIZE: Final = 4

_VERSION: Final = struct.Struct('!6sQ?')
_PACKED: Final = struct.Struct(f'!{FANOUT}I')
_LOW_BITS: Final = 0xFFFFFFFF


def bucket_of(address: Address) -> int:
    """Returns the bucket number of a control address, the same everywhere."""
    hashed = hashlib.blake2b(address.pack(), digest_size=PACKED_SIZE).digest()
    return int.from_bytes(hashed) % BUCKETS


def fingerprint(member: Member) -> int:
    """Returns the 64-bit hash of what nodes have to agree on.

    Suspicion is transient and the revision travels in message headers, so
    neither counts. Dead and left members do not count, because nodes forget
    them at different times.
    """
    if not member.is_live:
        return 0
    version = _VERSION.pack(
        member.control_address.pack(),
        member.incarnation,
        member.state == MemberState.DRAINING,
    )
    return int.from_bytes(hashlib.blake2b(version, digest_size=8).digest())


def differing(own: bytes, other: bytes) -> list[int]:
    """Returns the positions at which two packed digests differ."""
    pairs = zip(_PACKED.unpack(own), _PACKED.unpack(other), strict=True)
    return [index for index, (mine, its) in enumerate(pairs) if mine != its]


class Digest:
    """Exclusive-or of the fingerprints, by bucket, by group and of all."""

    __slots__ = ('_addresses', '_buckets', '_groups', '_root')

    def __init__(self) -> None:
        self._addresses: dict[int, list[Address]] = {}
        self._buckets = array('Q', bytes(BUCKETS * 8))
        self._groups = array('Q', bytes(FANOUT * 8))
        self._root = 0

    @property
    def root(self) -> int:
        """Digest of the whole table, 64 bits."""
        return self._root

    @property
    def groups(self) -> bytes:
        """Packed digests of all groups."""
        return _pack(self._groups)

    def buckets(self, group: int) -> bytes:
        """Packed digests of the buckets of one group."""
        first = group * FANOUT
        return _pack(self._buckets[first : first + FANOUT])

    def addresses(self, bucket: int) -> list[Address]:
        """Control addresses in a bucket, counted over all groups."""
        return self._addresses.get(bucket, [])

    def add(self, member: Member) -> None:
        """Adds a member."""
        bucket = bucket_of(member.control_address)
        self._addresses.setdefault(bucket, []).append(member.control_address)
        self._toggle(bucket, fingerprint(member))

    def remove(self, member: Member) -> None:
        """Removes a member that was added in the same form."""
        bucket = bucket_of(member.control_address)
        addresses = self._addresses[bucket]
        addresses.remove(member.control_address)
        if not addresses:
            self._addresses.pop(bucket)
        self._toggle(bucket, fingerprint(member))

    def _toggle(self, bucket: int, value: int) -> None:
        self._buckets[bucket] ^= value
        self._groups[bucket // FANOUT] ^= value
        self._root ^= value


def _pack(values: 'array[int]') -> bytes:
    return _PACKED.pack(*(value & _LOW_BITS for value in values))
