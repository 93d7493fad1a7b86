"""The promises, checked while a soak runs, from what both ends see."""

import re
import time
from collections import Counter
from collections.abc import Callable, Container
from typing import Final

from standins.platform_client import ClientFlow
from standins.platform_target import PlatformTarget

#: A reset of a live flow is only counted if the last unplanned fault ended
#: this long ago; the platform's pages call that time ``contact_timeout_ms``.
_CONTACT_S: Final = 4.0

#: A removed route must be out of use after this time (``config_apply_ms``).
_APPLY_S: Final = 3.0

#: No opening packet reaches a target later than this after the
#: acknowledgement that it drains. The agent allows none at all; on a busy
#: machine one that was sent before may wait here to be read. Users are
#: promised 2 s.
_DRAIN_S: Final = 0.5

_ANSWER: Final = re.compile(
    rb'HTTP/1\.1 (?:200|500) [\w ]+\r\nContent-Length: (\d+)\r\n\r\n(.*)',
    re.DOTALL,
)

#: The promises, in the order of the report.
PROMISES: Final = (
    'answer_is_own_and_whole',
    'runs_only_what_was_asked',
    'runs_at_most_once',
    'no_work_after_drain',
    'configuration_never_reverts',
    'live_flow_is_not_reset',
    'packets_unchanged',
    'serves_after_recovery',
)


class Ledger:
    """Notes everything and counts violations by promise.

    Args:
        holder: Finds the target that holds the flow of a client's end.
        lasting: Ports of the routes that are never removed; a flow whose
            route is removed may be reset.
    """

    def __init__(
        self,
        *,
        holder: Callable[[tuple[str, int]], PlatformTarget | None],
        lasting: Container[int],
    ) -> None:
        self._holder = holder
        self._lasting = lasting
        self._asked: dict[str, str] = {}
        self._runs: Counter[str] = Counter()
        self.checked: Counter[str] = Counter()
        self.violations: list[tuple[str, str]] = []
        self.answered = 0
        self.failed = 0
        #: End of the last unplanned fault; later while one goes on.
        self.disturbed_until_s: float = 0
        #: Time since which each removed route must be out of use.
        self.removed_s: dict[int, float] = {}

    def violate(self, promise: str, detail: str) -> None:
        """Notes a broken promise."""
        self.violations.append((promise, detail))

    def disturb(self, for_s: float) -> None:
        """Notes an unplanned fault that ends after a while."""
        until_s = time.monotonic() + for_s
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def on_ask(self, request: str, service: str) -> None:
        """A client sends a request."""
        self._asked[request] = service

    def on_answer(self, request: str, service: str, body: bytes) -> None:
        """A client has received an answer."""
        self.checked['answer_is_own_and_whole'] += 1
        found = _ANSWER.fullmatch(body)
        own = f'{service}:{request}:'.encode()
        if found is None or int(found.group(1)) != len(found.group(2)):
            self.violate('answer_is_own_and_whole', f'{request} is cut')
        elif not found.group(2).startswith(own):
            self.violate('answer_is_own_and_whole', f'{request} is foreign')
        self.answered += 1

    def on_run(self, request: str, service: str, target: str) -> None:
        """A target begins to work on a request."""
        self.checked['runs_only_what_was_asked'] += 1
        if self._asked.get(request) != service:
            detail = f'{request} at {target} of {service}'
            self.violate('runs_only_what_was_asked', detail)
        self.checked['runs_at_most_once'] += 1
        self._runs[request] += 1
        if self._runs[request] > 1:
            self.violate('runs_at_most_once', f'{request} at {target}')

    def on_opening(self, target: PlatformTarget) -> None:
        """An opening packet has reached a target."""
        self.checked['no_work_after_drain'] += 1
        drained_s = target.drained_s
        if drained_s and time.monotonic() - drained_s > _DRAIN_S:
            self.violate('no_work_after_drain', target.name)

    def on_reset(self, flow: ClientFlow) -> None:
        """A client was sent a reset of an open flow."""
        self.checked['live_flow_is_not_reset'] += 1
        is_calm = time.monotonic() - self.disturbed_until_s > _CONTACT_S
        holder = self._holder(flow.end)
        if is_calm and holder and flow.service_end[1] in self._lasting:
            detail = f'{flow.end} held by {holder.name}'
            self.violate('live_flow_is_not_reset', detail)

    def on_altered(self, target: str) -> None:
        """An end has received a packet that its sender did not write so."""
        self.violate('packets_unchanged', target)

    def on_opened(self, port: int, began_s: float) -> None:
        """A client's flow to a route was opened.

        Args:
            port: Port of the route.
            began_s: When the client began the attempt.
        """
        self.checked['configuration_never_reverts'] += 1
        self.checked['packets_unchanged'] += 1
        removed_s = self.removed_s.get(port)
        is_calm = time.monotonic() - self.disturbed_until_s > _CONTACT_S
        if removed_s and is_calm and began_s - removed_s > _APPLY_S:
            self.violate('configuration_never_reverts', f'port {port}')
