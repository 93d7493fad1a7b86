"""Invariants checked during a soak, from what clients and targets see."""

import re
import time
from collections import Counter
from collections.abc import Callable, Container
from typing import Final

from standins.platform_client import ClientFlow
from standins.platform_target import PlatformTarget

#: A reset of a live flow is a violation only if the last unplanned fault ended
#: at least this long ago; the platform calls this time ``contact_timeout_ms``.
_CONTACT_TIMEOUT_S: Final = 4.0

#: No flow is opened on a removed route after this time (the platform's
#: ``config_apply_ms``).
_ROUTE_REMOVAL_LIMIT_S: Final = 3.0

#: No opening packet reaches a target later than this after its drain has been
#: acknowledged. The agent forwards none from then on, but on a busy machine a
#: packet sent earlier may still be in the target's receive queue. The limit
#: guaranteed to users is 2 s.
_DRAIN_GRACE_S: Final = 0.5

_ANSWER: Final = re.compile(
    rb'HTTP/1\.1 (?:200|500) [\w ]+\r\nContent-Length: (\d+)\r\n\r\n(.*)',
    re.DOTALL,
)

#: Invariants in the order of the report, which prints them as promises.
INVARIANTS: Final = (
    'answer_is_own_and_whole',
    'runs_only_what_was_asked',
    'runs_at_most_once',
    'no_work_after_drain',
    'no_flow_at_evacuated_site',
    'configuration_never_reverts',
    'live_flow_is_not_reset',
    'packets_unchanged',
    'serves_after_recovery',
)


class InvariantChecker:
    """Records the events of clients and targets and checks the invariants.

    Args:
        find_holder: Returns the target that holds the flow of a client's
            address and port.
        permanent_ports: Ports of the routes that are never removed; a flow
            whose route is removed may be reset.
        is_evacuated: Whether the target on a host must get no new flow.
    """

    def __init__(
        self,
        *,
        find_holder: Callable[[tuple[str, int]], PlatformTarget | None],
        permanent_ports: Container[int],
        is_evacuated: Callable[[str], bool],
    ) -> None:
        self._find_holder = find_holder
        self._permanent_ports = permanent_ports
        self._is_evacuated = is_evacuated
        self._services_by_request: dict[str, str] = {}
        self._run_counts: Counter[str] = Counter()
        self.checked: Counter[str] = Counter()
        self.violations: list[tuple[str, str]] = []
        self.answered = 0
        self.failed = 0
        #: Monotonic time at which the last unplanned fault ends; in the future
        #: while a fault is active.
        self.unplanned_faults_end_s: float = 0
        #: Monotonic time at which each route was removed, by port.
        self.route_removed_s: dict[int, float] = {}

    def record_violation(self, invariant: str, detail: str) -> None:
        """Records a violation of an invariant."""
        self.violations.append((invariant, detail))

    def record_fault(self, duration_s: float) -> None:
        """Records an unplanned fault that starts now.

        Args:
            duration_s: Time until the fault ends.
        """
        end_s = time.monotonic() + duration_s
        self.unplanned_faults_end_s = max(self.unplanned_faults_end_s, end_s)

    def on_request(self, request: str, service: str) -> None:
        """A client sends a request."""
        self._services_by_request[request] = service

    def on_answer(self, request: str, service: str, body: bytes) -> None:
        """A client has received an answer."""
        self.checked['answer_is_own_and_whole'] += 1
        match = _ANSWER.fullmatch(body)
        expected_prefix = f'{service}:{request}:'.encode()
        if match is None or int(match.group(1)) != len(match.group(2)):
            self.record_violation(
                'answer_is_own_and_whole', f'{request} is cut'
            )
        elif not match.group(2).startswith(expected_prefix):
            self.record_violation(
                'answer_is_own_and_whole', f'{request} is foreign'
            )
        self.answered += 1

    def on_run(self, request: str, service: str, target: str) -> None:
        """A target begins to work on a request."""
        self.checked['runs_only_what_was_asked'] += 1
        if self._services_by_request.get(request) != service:
            detail = f'{request} at {target} of {service}'
            self.record_violation('runs_only_what_was_asked', detail)
        self.checked['runs_at_most_once'] += 1
        self._run_counts[request] += 1
        if self._run_counts[request] > 1:
            self.record_violation('runs_at_most_once', f'{request} at {target}')

    def on_opening(self, target: PlatformTarget) -> None:
        """An opening packet has reached a target."""
        self.checked['no_work_after_drain'] += 1
        drained_s = target.drained_s
        if drained_s and time.monotonic() - drained_s > _DRAIN_GRACE_S:
            self.record_violation('no_work_after_drain', target.name)
        self.checked['no_flow_at_evacuated_site'] += 1
        if self._is_evacuated(target.host):
            self.record_violation('no_flow_at_evacuated_site', target.name)

    def on_reset(self, flow: ClientFlow) -> None:
        """A client was sent a reset of an open flow."""
        self.checked['live_flow_is_not_reset'] += 1
        is_undisturbed = (
            time.monotonic() - self.unplanned_faults_end_s > _CONTACT_TIMEOUT_S
        )
        holder = self._find_holder(flow.client_endpoint)
        if (
            is_undisturbed
            and holder
            and flow.service_endpoint[1] in self._permanent_ports
        ):
            detail = f'{flow.client_endpoint} held by {holder.name}'
            self.record_violation('live_flow_is_not_reset', detail)

    def on_altered_packet(self, target: str) -> None:
        """A client or target has received a packet altered on the way."""
        self.record_violation('packets_unchanged', target)

    def on_opened(self, port: int, began_s: float) -> None:
        """A client has opened a flow on a route.

        Args:
            port: Port of the route.
            began_s: Monotonic time at which the attempt began.
        """
        self.checked['configuration_never_reverts'] += 1
        self.checked['packets_unchanged'] += 1
        route_removed_s = self.route_removed_s.get(port)
        is_undisturbed = (
            time.monotonic() - self.unplanned_faults_end_s > _CONTACT_TIMEOUT_S
        )
        if (
            route_removed_s
            and is_undisturbed
            and began_s - route_removed_s > _ROUTE_REMOVAL_LIMIT_S
        ):
            self.record_violation('configuration_never_reverts', f'port {port}')
