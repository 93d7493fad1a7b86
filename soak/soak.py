"""One soak: load, faults, recovery and the result."""

import itertools
import time
from typing import Final

import gevent
import msgspec

from soak.cluster import EXTRA_PORT, ROUTES, SERVICE_HOST, SoakCluster
from soak.faults import Faults
from standins.platform_client import ClientFlow, PlatformClient

#: Longest time from the last fault until requests are answered again. The
#: platform allows 12 s (``recovery_s``); users are guaranteed 2 s of these.
_RECOVERY_LIMIT_S: Final = 12.0

#: Longest time until requests are answered after a start of all processes,
#: when none of them finds another one running.
_START_LIMIT_S: Final = 20.0

_MAX_REQUESTS_PER_LONG_FLOW: Final = 40

#: Consecutive answers after which the cluster counts as serving.
_REQUIRED_CONSECUTIVE_ANSWERS: Final = 20


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one soak.

    Attributes:
        seed: Seed of the soak.
        violations: Violated invariants with details.
        checked: Number of checks by invariant.
        injected: Number of faults by kind.
        answered: Requests answered.
        failed: Requests or flows that failed.
        recovery_s: Time from the last fault until every service answers.
    """

    seed: int
    violations: list[tuple[str, str]]
    checked: dict[str, int]
    injected: dict[str, int]
    answered: int
    failed: int
    recovery_s: float


class Soak:
    """Runs clients and faults against a cluster.

    Args:
        cluster: The processes and stand-ins, not started yet.
        seed: Seed of the cluster, for the result.
    """

    def __init__(self, *, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._seed = seed
        self._faults = Faults(cluster=cluster)
        self._request_numbers = itertools.count(1)

    def run(self, seconds: float, *, only_planned: bool) -> SoakResult:
        """Starts the cluster, injects faults under load and stops it.

        Args:
            seconds: Time of faults.
            only_planned: Whether only planned work and faults of the store
                are injected.
        """
        cluster = self._cluster
        try:
            cluster.start()
            self._wait_for_service(_START_LIMIT_S)
            recovery_s = self._run_under_load(seconds, only_planned)
        finally:
            cluster.stop()
        return self._result(recovery_s)

    def _run_under_load(self, seconds: float, only_planned: bool) -> float:
        """Injects faults under load; returns the recovery time."""
        load_types = itertools.product(
            self._cluster.clients, (*ROUTES, EXTRA_PORT), (True, False)
        )
        load_tasks = [
            gevent.spawn(self._generate_load, *load_type)
            for load_type in load_types
        ]
        self._faults.run(seconds, only_planned=only_planned)
        recovery_s = self._wait_for_service(_RECOVERY_LIMIT_S)
        gevent.killall(load_tasks)
        return recovery_s

    def _wait_for_service(self, limit_s: float) -> float:
        """Waits until all services answer steadily; returns the time taken."""
        started_s = time.monotonic()
        checker = self._cluster.checker
        checker.checked['serves_after_recovery'] += 1
        consecutive_answers = 0
        while consecutive_answers < _REQUIRED_CONSECUTIVE_ANSWERS:
            if time.monotonic() - started_s > limit_s:
                detail = f'not within {limit_s} s'
                checker.record_violation('serves_after_recovery', detail)
                break
            port = list(ROUTES)[consecutive_answers % len(ROUTES)]
            consecutive_answers = (
                consecutive_answers + 1 if self._is_served(port) else 0
            )
        return time.monotonic() - started_s

    def _is_served(self, port: int) -> bool:
        """Whether one request on a new flow is answered."""
        client = self._cluster.clients[0]
        flow = self._open(client, port)
        if flow is None:
            return False
        is_served = self._send_request(client, flow, port)
        client.close(flow)
        return is_served

    def _generate_load(
        self, client: PlatformClient, port: int, is_long: bool
    ) -> None:
        """Opens flows one after the other until it is killed."""
        max_requests = _MAX_REQUESTS_PER_LONG_FLOW if is_long else 1
        while True:
            flow = self._open(client, port)
            if flow is not None:
                self._send_requests(client, flow, port, max_requests)
            elif port in ROUTES:
                # The extra route exists only temporarily.
                self._cluster.checker.failed += 1
            gevent.sleep(0.1)

    def _send_requests(
        self,
        client: PlatformClient,
        flow: ClientFlow,
        port: int,
        max_requests: int,
    ) -> None:
        random = self._cluster.random
        for _ in range(random.randint(1, max_requests)):
            if not self._send_request(client, flow, port):
                self._cluster.checker.failed += port in ROUTES
                break
            gevent.sleep(random.uniform(0.01, 0.3))
        client.close(flow)

    def _open(self, client: PlatformClient, port: int) -> ClientFlow | None:
        began_s = time.monotonic()
        flow = client.open((SERVICE_HOST, port))
        if flow is not None:
            self._cluster.checker.on_opened(port, began_s)
        return flow

    def _send_request(
        self, client: PlatformClient, flow: ClientFlow, port: int
    ) -> bool:
        service = ROUTES.get(port, 'bookings')
        return client.request(flow, f'q-{next(self._request_numbers)}', service)

    def _result(self, recovery_s: float) -> SoakResult:
        checker = self._cluster.checker
        return SoakResult(
            seed=self._seed,
            violations=checker.violations,
            checked=dict(checker.checked),
            injected=dict(self._faults.injected),
            answered=checker.answered,
            failed=checker.failed,
            recovery_s=recovery_s,
        )
