"""Settings that balancers and agents share."""

from typing import Final

from msgspec import Struct

from anvilthread.settings.setting_types import (
    ControlAddress,
    DataAddress,
    DirectoryPath,
    FilePath,
    MetricsAddress,
    NodeName,
    RequestAddress,
    SeedAddresses,
    SiteName,
    StopDeadline,
    StoreUrl,
)

_STOP_DEADLINE_MS: Final = 30_000


class NodeSettings(Struct, frozen=True, kw_only=True):
    """Settings of any node.

    Attributes:
        name: Name in logs and metrics.
        site: Site of the VM.
        control: UDP address for membership.
        data: UDP address for encapsulated datagrams.
        request: ZeroMQ address for requests between nodes.
        metrics: HTTP address for metrics and health.
        seeds: Control addresses of the nodes contacted to join the cluster.
        keys: Path of the key file.
        store: URL of the platform's store; None if this node has no store.
        configuration: Directory with base.toml and overlays, used until a
            revision is known.
        stop_deadline_ms: Maximum duration of a graceful shutdown.
    """

    name: NodeName
    site: SiteName
    control: ControlAddress
    data: DataAddress
    request: RequestAddress
    metrics: MetricsAddress
    seeds: SeedAddresses
    keys: FilePath
    store: StoreUrl | None = None
    configuration: DirectoryPath | None = None
    stop_deadline_ms: StopDeadline = _STOP_DEADLINE_MS
