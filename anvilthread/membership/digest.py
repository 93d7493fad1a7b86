"""Hash digests that locate differences between tables in few bytes."""

import hashlib
import struct
from array import array
from typing import Final

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState

#: Groups of a table, and buckets of a group. At 48,500 members each of the
#: 64 times 64 buckets holds about 12, which fit into one datagram.
FANOUT: Final = 64

BUCKETS: Final = FANOUT * FANOUT

#: Bytes of one packed digest on the wire.
PACKED_DIGEST_BYTES: Final = 4

_VERSION: Final = struct.Struct('!6sQ?')
_PACKED: Final = struct.Struct(f'!{FANOUT}I')
_LOW_BITS: Final = 0xFFFFFFFF


def bucket_of(address: Address) -> int:
    """Returns the bucket of a control address; equal on all nodes."""
    hashed = hashlib.blake2b(
        address.pack(), digest_size=PACKED_DIGEST_BYTES
    ).digest()
    return int.from_bytes(hashed) % BUCKETS


def fingerprint(member: Member) -> int:
    """Returns a 64-bit hash of the fields on which all nodes must agree.

    Suspicion is transient and the revision is sent in message headers, so
    neither is hashed. Dead and left members have the fingerprint 0, because
    nodes forget them at different times.
    """
    if not member.is_live:
        return 0
    version = _VERSION.pack(
        member.control_address.pack(),
        member.incarnation,
        member.state == MemberState.DRAINING,
    )
    return int.from_bytes(hashlib.blake2b(version, digest_size=8).digest())


def differing_positions(local: bytes, remote: bytes) -> list[int]:
    """Returns the positions at which two packed digests differ."""
    pairs = zip(_PACKED.unpack(local), _PACKED.unpack(remote), strict=True)
    return [
        index for index, (ours, theirs) in enumerate(pairs) if ours != theirs
    ]


class Digest:
    """XOR of the fingerprints by bucket, by group and of the whole table."""

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
        """Control addresses in a bucket; numbered across all groups."""
        return self._addresses.get(bucket, [])

    def add(self, member: Member) -> None:
        """Adds a member."""
        bucket = bucket_of(member.control_address)
        self._addresses.setdefault(bucket, []).append(member.control_address)
        self._toggle(bucket, fingerprint(member))

    def remove(self, member: Member) -> None:
        """Removes a member; it must equal the one that was added."""
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
