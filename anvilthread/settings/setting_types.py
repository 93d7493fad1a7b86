"""Types of settings, with the examples shown in error messages."""

from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, TypeAlias

from msgspec import Meta

from anvilthread.address import Address

NodeName: TypeAlias = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=64,
        description='name of this process in logs and metrics',
        examples=['balancer-1'],
    ),
]
SiteName: TypeAlias = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=64,
        description='site that this VM is in',
        examples=['tema-plant'],
    ),
]
ControlAddress: TypeAlias = Annotated[
    Address,
    Meta(
        description='UDP address for membership',
        examples=['10.1.0.11:7946'],
    ),
]
DataAddress: TypeAlias = Annotated[
    Address,
    Meta(
        description='UDP address for encapsulated datagrams',
        examples=['10.1.0.11:7443'],
    ),
]
RequestAddress: TypeAlias = Annotated[
    Address,
    Meta(
        description='ZeroMQ address for requests between nodes',
        examples=['10.1.0.11:7947'],
    ),
]
MetricsAddress: TypeAlias = Annotated[
    Address,
    Meta(
        description='HTTP address for metrics and health',
        examples=['10.1.0.11:9464'],
    ),
]
SeedAddresses: TypeAlias = Annotated[
    tuple[Address, ...],
    Meta(
        min_length=1,
        description='control addresses of nodes to join through',
        examples=[['10.1.0.11:7946', '10.2.0.11:7946']],
    ),
]
FilePath: TypeAlias = Annotated[
    Path,
    Meta(
        description='path, absolute or relative to the settings file',
        examples=['/run/anvilthread/keys.toml'],
    ),
]
DirectoryPath: TypeAlias = Annotated[
    Path,
    Meta(
        description='directory that holds base.toml and overlays/',
        examples=['/run/anvilthread/configuration'],
    ),
]
StoreUrl: TypeAlias = Annotated[
    str,
    Meta(
        pattern='^https?://[^/ ]+',
        description="URL of the platform's key-value store",
        examples=['http://10.1.0.5:8500'],
    ),
]
StopDeadline: TypeAlias = Annotated[
    int,
    Meta(
        ge=0,
        description='longest graceful shutdown in ms',
        examples=[30_000],
    ),
]
ListenIp: TypeAlias = Annotated[
    IPv4Address,
    Meta(
        description='IP that replaces the one of every service address',
        examples=['10.1.0.11'],
    ),
]
ServiceNames: TypeAlias = Annotated[
    tuple[Annotated[str, Meta(min_length=1)], ...],
    Meta(
        min_length=1,
        description='services that the target runs',
        examples=[['bookings']],
    ),
]
TargetAddress: TypeAlias = Annotated[
    Address,
    Meta(
        description='TCP address of the target, HTTP/1.1',
        examples=['127.0.0.1:8080'],
    ),
]
Slots: TypeAlias = Annotated[
    int,
    Meta(
        ge=1,
        le=65_535,
        description='requests that the target runs at once',
        examples=[2],
    ),
]
QueueLength: TypeAlias = Annotated[
    int,
    Meta(
        ge=0,
        le=65_535,
        description='requests that may wait for a slot',
        examples=[64],
    ),
]
KeptAnswerBytes: TypeAlias = Annotated[
    int,
    Meta(
        ge=0,
        description='memory for answers kept for repeats, in bytes',
        examples=[67_108_864],
    ),
]
KeptAnswerMs: TypeAlias = Annotated[
    int,
    Meta(
        ge=0,
        description='time for which answers are kept, in ms',
        examples=[600_000],
    ),
]
