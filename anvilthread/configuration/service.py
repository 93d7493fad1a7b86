"""One service of the operators' configuration."""

from fnmatch import fnmatchcase
from typing import Annotated

from msgspec import Meta, Struct, field

from anvilthread.configuration.field_types import (
    Addresses,
    Name,
    Percentage,
    PositiveCount,
    PositiveMs,
)
from anvilthread.configuration.objectives import Objectives

ServiceNumber = Annotated[
    int,
    Meta(ge=1, le=65535, description='use a whole number from 1 to 65535'),
]

SiteNames = Annotated[
    tuple[Name, ...],
    Meta(min_length=1, description='list at least one name from [sites]'),
]

RequestPattern = Annotated[
    str,
    Meta(
        pattern=r'^(\*|[A-Z]+) /\S*$',
        description='write a method or * and a path, such as "POST /orders/*"',
    ),
]

PathPattern = Annotated[
    str,
    Meta(
        pattern=r'^/\S*$',
        description='write a path that starts with /, such as "/routes/*"',
    ),
]


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a service.

    Attributes:
        number: Number in connection IDs; never reused for another service.
        addresses: Addresses at which clients reach the service.
        sites: Names of the sites that carry it.
        non_idempotent: Requests that must run at most once, as
            ``METHOD /path`` with ``*`` as a wildcard in both.
        stream_paths: Paths of long streams, which occupy no slot.
        deadline_ms: Deadline of a request that states none.
        queue_limit: Requests that may wait at one agent.
        retry_percent: Most retries, as a percentage of first attempts.
        objectives: Service-level objectives.
    """

    number: ServiceNumber
    addresses: Addresses
    sites: SiteNames
    non_idempotent: tuple[RequestPattern, ...] = ('POST /*', 'PATCH /*')
    stream_paths: tuple[PathPattern, ...] = ()
    deadline_ms: PositiveMs = 10_000
    queue_limit: PositiveCount = 64
    retry_percent: Percentage = 10
    objectives: Objectives = field(default_factory=Objectives)

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a request may run more than once."""
        request = f'{method} {path}'
        return not any(
            fnmatchcase(request, pattern) for pattern in self.non_idempotent
        )

    def takes_slot(self, path: str) -> bool:
        """Returns whether a request occupies a slot of its target."""
        return not any(
            fnmatchcase(path, pattern) for pattern in self.stream_paths
        )
