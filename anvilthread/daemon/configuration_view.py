"""The configuration in force at one node."""

from collections.abc import Callable

from anvilthread.configuration.configuration import Configuration

Listener = Callable[[Configuration], None]


class ConfigurationView:
    """Holds the newest configuration and notifies its listeners."""

    __slots__ = ('_configuration', '_listeners', '_revision')

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._revision = 0
        self._listeners: list[Listener] = []

    @property
    def configuration(self) -> Configuration | None:
        """The configuration, or None before the first one is known."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Revision in force; 0 for a configuration from local files."""
        return self._revision

    def subscribe(self, listener: Listener) -> None:
        """Calls a listener on every change, and now if one is in force."""
        self._listeners.append(listener)
        if self._configuration is not None:
            listener(self._configuration)

    def adopt(self, configuration: Configuration, revision: int) -> bool:
        """Puts a configuration in force unless a newer one already is.

        Returns:
            Whether the configuration was put in force. An older revision or
            a repeated one never is.
        """
        has_configuration = self._configuration is not None
        if has_configuration and revision <= self._revision:
            return False
        self._configuration = configuration
        self._revision = revision
        for listener in self._listeners:
            listener(configuration)
        return True

    def name_of(self, service: int) -> str:
        """Returns the name of a service, for logs and metrics."""
        if self._configuration is None:
            return str(service)
        return self._configuration.name_of(service) or str(service)
