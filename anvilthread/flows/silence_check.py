"""Whether a target that does not answer has ended."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.log import Log

#: Minimum time between two probes, and its upper limit; it doubles with each
#: probe while the target stays silent. Users count connections to the target.
_MIN_PROBE_PAUSE_MS: Final = 200
_MAX_PROBE_PAUSE_MS: Final = 2000


class SilenceCheck:
    """Seeks proof that a silent target has ended.

    Silence alone proves nothing: a target that is paused or overloaded keeps
    its flows. A refused connection to its port proves that it has ended, and
    so does the lack of heartbeats and packets for the silence timeout.

    Args:
        clock: Source of time.
        target: State of the target.
        log: Receives the result of each probe, and the proof.
    """

    __slots__ = (
        '_clock',
        '_is_probing',
        '_is_refused',
        '_log',
        '_pause_ms',
        '_probe_due_ms',
        '_probed_since_ms',
        '_since_ms',
        '_target',
    )

    def __init__(self, *, clock: Clock, target: TargetWatch, log: Log) -> None:
        self._clock = clock
        self._target = target
        self._log = log
        #: Start of the current silence; None while the target answers.
        self._since_ms: int | None = None
        #: Start of the silence in which the last probe was started.
        self._probed_since_ms: int | None = None
        self._is_probing = False
        self._is_refused = False
        self._pause_ms = _MIN_PROBE_PAUSE_MS
        self._probe_due_ms = clock.now_ms()

    @property
    def is_probe_due(self) -> bool:
        """Whether the port of the target is to be probed now."""
        return (
            self._since_ms is not None
            and not self._is_probing
            and self._clock.now_ms() >= self._probe_due_ms
        )

    def begin(self, since_ms: int) -> None:
        """Records that the target leaves opening packets unanswered.

        Args:
            since_ms: Time of the first of these packets.
        """
        if self._since_ms is None:
            self._since_ms = since_ms

    def start_probe(self) -> None:
        """Records the start of a probe, and schedules the next one."""
        self._is_probing = True
        self._probed_since_ms = self._since_ms
        self._probe_due_ms = self._clock.now_ms() + self._pause_ms
        self._pause_ms = min(self._pause_ms * 2, _MAX_PROBE_PAUSE_MS)

    def finish_probe(self, *, is_listening: bool | None) -> None:
        """Records the result of a probe.

        Args:
            is_listening: Whether the port is open; None if that is unknown.
        """
        self._is_probing = False
        self._log.event('silent_target_probed', is_listening=is_listening)
        # The target may have been seen since, and be silent again.
        is_current = self._since_ms == self._probed_since_ms
        if is_listening is False and is_current:
            self._is_refused = True

    def tick(self) -> bool:
        """Evaluates the silence; called every 20 ms.

        Returns:
            Whether the target has been proved to have ended since the last
            call.
        """
        if self._since_ms is None:
            return False
        if self._is_over:
            self._since_ms = None
            self._is_refused = False
            self._pause_ms = _MIN_PROBE_PAUSE_MS
            self._probe_due_ms = min(
                self._probe_due_ms, self._clock.now_ms() + self._pause_ms
            )
            return False
        if not self._is_refused and not self._target.is_silent:
            return False
        self._log.event(
            'target_ended',
            is_refused=self._is_refused,
            silence_ms=self._clock.now_ms() - self._since_ms,
        )
        # Flows opened from now on need a new proof. The pause between probes
        # stays, since the target has not been seen.
        self._since_ms = None
        self._is_refused = False
        return True

    @property
    def _is_over(self) -> bool:
        """Whether the target has sent anything since the silence began."""
        since_ms = self._since_ms
        return since_ms is not None and self._target.is_seen_since(since_ms)
