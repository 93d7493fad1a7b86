"""Settings of a balancer process."""

from anvilthread.settings.node_settings import NodeSettings
from anvilthread.settings.setting_types import ListenIp


class BalancerSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of a balancer.

    Attributes:
        listen_ip: Replaces the IP of every service address, for fabrics that
            rewrite the destination of packets; None to listen on the service
            addresses themselves.
    """

    listen_ip: ListenIp | None = None
