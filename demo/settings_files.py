"""Settings of the nodes of a cluster."""

import json
from pathlib import Path
from typing import Final

from demo.cluster_plan import ClusterPlan

CONTROL_PORT: Final = 7946
REQUEST_PORT: Final = 7947
DATA_PORT: Final = 7001
METRICS_PORT: Final = 9100
STORE_PORT: Final = 8500

#: Kind and number of the seed nodes, through which other nodes join.
_SEEDS: Final = ((1, 1), (1, 2), (1, 3), (2, 1))


class SettingsFiles:
    """Writes settings files into the directory of a cluster.

    Args:
        plan: Sites, services and addresses of the cluster.
        directory: Where the files go.
    """

    def __init__(self, *, plan: ClusterPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory

    @property
    def keys(self) -> Path:
        """The key file."""
        return self._directory / 'keys.toml'

    @property
    def certificate(self) -> Path:
        """The TLS certificate."""
        return self._directory / 'certificate.pem'

    @property
    def certificate_key(self) -> Path:
        """The private key of the certificate."""
        return self._directory / 'certificate-key.pem'

    @property
    def configuration(self) -> Path:
        """The directory with base.toml."""
        return self._directory / 'configuration'

    @property
    def store(self) -> str:
        """Address of the store."""
        return f'{self._plan.ip(8, 1)}:{STORE_PORT}'

    def node(
        self, name: str, ip: str, number: int, *, files: bool
    ) -> dict[str, object]:
        """Returns the settings that balancers and agents share.

        Args:
            name: Name of the process.
            ip: Its address.
            number: Its number, which determines its site.
            files: Whether it reads a local configuration.
        """
        sites = self._plan.sites
        local = {'configuration': str(self.configuration)} if files else {}
        return {
            'name': name,
            'site': sites[(number - 1) % len(sites)],
            'control': f'{ip}:{CONTROL_PORT}',
            'data': f'{ip}:{DATA_PORT}',
            'request': f'{ip}:{REQUEST_PORT}',
            'metrics': f'{ip}:{METRICS_PORT}',
            'seeds': [
                f'{self._plan.ip(kind, seed)}:{CONTROL_PORT}'
                for kind, seed in _SEEDS
            ],
            'keys': str(self.keys),
            'store': f'http://{self.store}',
            **local,
        }

    def write(self, name: str, settings: dict[str, object]) -> Path:
        """Writes the settings of one process and returns their path."""
        path = self._directory / f'{name}.toml'
        # JSON strings, numbers and flat lists are valid TOML values.
        path.write_text(
            ''.join(
                f'{key} = {json.dumps(value)}\n'
                for key, value in settings.items()
            )
        )
        return path
