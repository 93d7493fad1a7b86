"""Reads the settings of a running process again."""

from collections.abc import Callable
from typing import Final

import msgspec
from gevent.event import Event
from result import Err, Result

from anvilthread.error import AnvilthreadError
from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flows.introducer import Introducer
from anvilthread.telemetry.log import Log

#: Interval at which the settings file is read without a signal.
_SETTINGS_POLL_S: Final = 30

SettingsLoader = Callable[[], Result[FlowNodeSettings, AnvilthreadError]]


class SettingsWatch:
    """Holds the settings, and applies those that can change at run time.

    Args:
        settings: Settings of the process at its start.
        introducer: Receives new contacts.
        log: Receives each change, and settings that cannot be used.
    """

    __slots__ = ('_introducer', '_log', '_reload_requested', '_settings')

    def __init__(
        self, *, settings: FlowNodeSettings, introducer: Introducer, log: Log
    ) -> None:
        self._settings = settings
        self._introducer = introducer
        self._log = log
        #: Set by SIGHUP; cleared when the settings are read again.
        self._reload_requested = Event()

    @property
    def settings(self) -> FlowNodeSettings:
        """The settings in force."""
        return self._settings

    def request_reload(self) -> None:
        """Makes the watch read the settings at once."""
        self._reload_requested.set()

    def follow(self, load: SettingsLoader) -> None:
        """Reads the settings again on request and at an interval, forever.

        Only the contacts can change without a restart; a change of another
        field is logged, and the running settings stay.

        Args:
            load: Reads the settings file.
        """
        while True:
            is_requested = self._reload_requested.wait(_SETTINGS_POLL_S)
            self._reload_requested.clear()
            loaded = load()
            if isinstance(loaded, Err):
                self._log.warning(
                    'settings_refused',
                    reason=loaded.err_value.reason,
                    remedy=loaded.err_value.remedy,
                )
            elif is_requested or loaded.ok_value != self._settings:
                self._apply(loaded.ok_value)

    def _apply(self, settings: FlowNodeSettings) -> None:
        self._introducer.add_contacts(settings.contacts)
        self._settings = msgspec.structs.replace(
            self._settings, contacts=settings.contacts
        )
        self._log.event(
            'settings_reloaded',
            contacts=','.join(settings.contacts),
            needs_restart=self._settings != settings,
        )
