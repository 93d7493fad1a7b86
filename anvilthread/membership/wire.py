"""Parts that several membership messages share."""

from typing import Annotated

import msgspec

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.role import Role

PackedAddress = Annotated[
    bytes,
    msgspec.Meta(
        min_length=Address.packed_size, max_length=Address.packed_size
    ),
]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 40))]
Service = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Services = Annotated[tuple[Service, ...], msgspec.Meta(max_length=64)]
Site = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


def without_suspicion(state: MemberState) -> MemberState:
    """Replaces SUSPECT by ALIVE.

    Only a change with a reporter carries a suspicion.
    """
    return MemberState.ALIVE if state == MemberState.SUSPECT else state


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A full description of a member."""

    address: PackedAddress
    incarnation: Number
    state: MemberState
    role: Role
    site: Site
    data: PackedAddress
    request: PackedAddress
    services: Services
    slots: Number
    revision: Number

    @classmethod
    def of(cls, member: Member) -> 'Record':
        """Returns the wire form of a member, without a suspicion."""
        return cls(
            address=member.control_address.pack(),
            incarnation=member.incarnation,
            state=without_suspicion(member.state),
            role=member.role,
            site=member.site,
            data=member.data_address.pack(),
            request=member.request_address.pack(),
            services=member.services,
            slots=member.slots,
            revision=member.configuration_revision,
        )

    def member(self) -> Member:
        """Returns the member that this record describes."""
        return Member(
            control_address=Address.unpack(self.address),
            role=self.role,
            site=self.site,
            data_address=Address.unpack(self.data),
            request_address=Address.unpack(self.request),
            services=self.services,
            incarnation=self.incarnation,
            state=without_suspicion(self.state),
            slots=self.slots,
            configuration_revision=self.revision,
        )


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A new state of a member whose other fields stay the same."""

    address: PackedAddress
    incarnation: Number
    state: MemberState
    #: Address of the node that suspects the member; empty for other states.
    reporter: Annotated[bytes, msgspec.Meta(max_length=6)] = b''

    @classmethod
    def of(cls, member: Member) -> 'Change':
        """Returns the state of a member, without a suspicion."""
        return cls(
            address=member.control_address.pack(),
            incarnation=member.incarnation,
            state=without_suspicion(member.state),
        )


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=0
):
    """Header of all messages, with the piggybacked changes."""

    #: Incarnation and configuration revision of the sender.
    incarnation: Number = 0
    revision: Number = 0
    changes: tuple[Change, ...] = ()
    records: tuple[Record, ...] = ()
