"""One soak: load, faults, recovery and a verdict."""

import itertools
import time
from typing import Final

import gevent
import msgspec

from soak.cluster import EXTRA_PORT, ROUTES, SERVICE_HOST, SoakCluster
from soak.faults import Faults
from standins.platform_client import ClientFlow, PlatformClient

#: After the last fault, requests must be answered again within this time;
#: the platform allows 12 s (``recovery_s``), users are promised 2 s of it.
_RECOVERY_S: Final = 12.0

#: Time to the first answer after a start with nobody else up.
_START_S: Final = 20.0

#: Requests on a long flow at most.
_LONG_REQUESTS: Final = 40

#: Consecutive answers that show that the cluster serves again.
_STEADY: Final = 20


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one soak has shown.

    Attributes:
        seed: Seed of the soak.
        violations: Broken promises with details.
        checked: Number of checks by promise.
        injected: Number of faults by kind.
        answered: Requests answered.
        failed: Requests or flows that failed.
        recovery_s: Time from the last fault until everything is served.
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
        self._numbers = itertools.count(1)

    def run(self, seconds: float, *, only_planned: bool) -> SoakResult:
        """Runs for a while; the cluster is stopped afterwards."""
        cluster = self._cluster
        try:
            cluster.start()
            self._await_service(_START_S)
            recovery_s = self._disturb(seconds, only_planned)
        finally:
            cluster.stop()
        return self._result(recovery_s)

    def _disturb(self, seconds: float, only_planned: bool) -> float:
        """Injects faults under load; returns the time to recover."""
        kinds = itertools.product(
            self._cluster.clients, (*ROUTES, EXTRA_PORT), (True, False)
        )
        users = [gevent.spawn(self._use, *kind) for kind in kinds]
        self._faults.run(seconds, only_planned=only_planned)
        recovery_s = self._await_service(_RECOVERY_S)
        gevent.killall(users)
        return recovery_s

    def _await_service(self, limit_s: float) -> float:
        """Waits until each service answers in a row; returns the time."""
        started_s = time.monotonic()
        ledger = self._cluster.ledger
        ledger.checked['serves_after_recovery'] += 1
        served = 0
        while served < _STEADY:
            if time.monotonic() - started_s > limit_s:
                detail = f'not within {limit_s} s'
                ledger.violate('serves_after_recovery', detail)
                break
            port = list(ROUTES)[served % len(ROUTES)]
            served = served + 1 if self._serves(port) else 0
        return time.monotonic() - started_s

    def _serves(self, port: int) -> bool:
        """Whether one request on a new flow is answered."""
        client = self._cluster.clients[0]
        flow = self._open(client, port)
        if flow is None:
            return False
        is_served = self._ask(client, flow, port)
        client.close(flow)
        return is_served

    def _use(self, client: PlatformClient, port: int, is_long: bool) -> None:
        """Opens flows one after the other, forever."""
        most = _LONG_REQUESTS if is_long else 1
        while True:
            flow = self._open(client, port)
            if flow is not None:
                self._use_flow(client, flow, port, most)
            elif port in ROUTES:
                # The other route exists only now and then.
                self._cluster.ledger.failed += 1
            gevent.sleep(0.1)

    def _use_flow(
        self, client: PlatformClient, flow: ClientFlow, port: int, most: int
    ) -> None:
        random = self._cluster.random
        for _ in range(random.randint(1, most)):
            if not self._ask(client, flow, port):
                self._cluster.ledger.failed += port in ROUTES
                break
            gevent.sleep(random.uniform(0.01, 0.3))
        client.close(flow)

    def _open(self, client: PlatformClient, port: int) -> ClientFlow | None:
        began_s = time.monotonic()
        flow = client.open((SERVICE_HOST, port))
        if flow is not None:
            self._cluster.ledger.on_opened(port, began_s)
        return flow

    def _ask(self, client: PlatformClient, flow: ClientFlow, port: int) -> bool:
        service = ROUTES.get(port, 'bookings')
        return client.request(flow, f'q-{next(self._numbers)}', service)

    def _result(self, recovery_s: float) -> SoakResult:
        ledger = self._cluster.ledger
        return SoakResult(
            seed=self._seed,
            violations=ledger.violations,
            checked=dict(ledger.checked),
            injected=dict(self._faults.injected),
            answered=ledger.answered,
            failed=ledger.failed,
            recovery_s=recovery_s,
        )
