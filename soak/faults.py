"""Faults from outside the processes, in overlapping series."""

import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

import gevent
from gevent.pool import Group

from soak.cluster import EXTRA_PORT, SoakCluster
from standins.platform_target import PlatformTarget

#: Longest time from SIGTERM to the end, as the platform allows.
_GRACE_S: Final = 6.0

#: Time for which the links of clients lose or delay packets: several of the
#: intervals after which both ends send again.
_HARM_S: Final = 2.0


class Faults:
    """Injects faults by name and counts them.

    Args:
        cluster: The processes and stand-ins.
    """

    def __init__(self, *, cluster: SoakCluster) -> None:
        self._cluster = cluster
        self._random = cluster.random
        self._tasks = Group()
        self.injected: Counter[str] = Counter()
        self.planned = (
            self.restart_balancer,
            self.reload,
            self.drain_target,
            self.change_route,
            self.silence_store,
            self.busy_store,
            self.slow_store,
            self.lose_answers,
            self.refuse_nodes,
        )
        self.unplanned = (
            self.kill_balancer,
            self.kill_agent,
            self.freeze,
            self.crash_target,
            self.fail_target,
            self.silence_target,
            self.lose_packets,
            self.reorder_packets,
            self.cut_balancer,
            self.kill_all,
        )

    def run(self, seconds: float, *, only_planned: bool) -> None:
        """Injects faults until the time is over."""
        deadline_s = time.monotonic() + seconds
        kinds: tuple[Callable[[], None], ...] = self.planned
        if not only_planned:
            kinds = (*self.planned, *self.unplanned)
        while time.monotonic() < deadline_s:
            fault = self._random.choice(kinds)
            self.injected[fault.__name__] += 1
            self._tasks.spawn(self._inject, fault)
            gevent.sleep(self._random.uniform(0.1, 1.2))
        # What a fault has stopped it also starts again.
        self._tasks.join()

    def restart_balancer(self) -> None:
        """Stops a balancer by SIGTERM and starts it again."""
        cluster = self._cluster
        running = [it for it in cluster.balancers if it in cluster.processes]
        # Routers need another one in rotation to move the packets to.
        if len(running) < 2:
            return
        host = self._random.choice(running)
        cluster.signal(host, signal.SIGTERM)
        if not cluster.wait_exit(host, _GRACE_S):
            cluster.ledger.violate('serves_after_recovery', f'{host} stays')
            cluster.kill(host)
        gevent.sleep(0.3)
        if host not in cluster.processes:
            cluster.start_process(host)

    def reload(self) -> None:
        """Sends SIGHUP."""
        host = self._random.choice(self._cluster.hosts)
        self._cluster.signal(host, signal.SIGHUP)

    def drain_target(self) -> None:
        """Replaces a target after it has drained."""
        cluster = self._cluster
        host = self._random.choice(list(cluster.targets))
        target = cluster.targets[host]
        target.drain()
        gevent.sleep(2.0)
        if cluster.targets.get(host) is target:
            cluster.start_target(host)

    def change_route(self) -> None:
        """Adds a route and removes it later."""
        cluster = self._cluster
        removed = cluster.ledger.removed_s
        removed.pop(EXTRA_PORT, None)
        cluster.configure((EXTRA_PORT,))
        gevent.sleep(self._random.uniform(0.2, 2.0))
        cluster.configure(())
        if cluster.store.mode == 'up' and not cluster.store.refused:
            removed[EXTRA_PORT] = time.monotonic()

    def silence_store(self) -> None:
        """Has the store answer nothing."""
        self._set_store('silent')

    def busy_store(self) -> None:
        """Has the store turn everybody away."""
        self._set_store('busy')

    def slow_store(self) -> None:
        """Has the store answer late."""
        self._set_store('slow')

    def lose_answers(self) -> None:
        """Has the store lose half of its answers."""
        self._set_store('lost')

    def refuse_nodes(self) -> None:
        """Has the store turn some nodes away."""
        store = self._cluster.store
        store.refused = set(self._random.sample(self._cluster.hosts, 2))
        gevent.sleep(self._random.uniform(0.5, 3.0))
        store.refused = set()

    def kill_balancer(self) -> None:
        """Kills a balancer and starts it again."""
        self._kill(self._random.choice(self._cluster.balancers))

    def kill_agent(self) -> None:
        """Kills an agent, whose target lives on, and starts it again."""
        self._kill(self._random.choice(list(self._cluster.services)))

    def freeze(self) -> None:
        """Pauses a process."""
        cluster = self._cluster
        host = self._random.choice(cluster.hosts)
        pause_s = self._random.uniform(0.2, 2.0)
        cluster.ledger.disturb(pause_s)
        cluster.signal(host, signal.SIGSTOP)
        gevent.sleep(pause_s)
        cluster.signal(host, signal.SIGCONT)

    def crash_target(self) -> None:
        """Ends a target without notice and starts another one."""
        cluster = self._cluster
        host = self._random.choice(list(cluster.targets))
        pause_s = self._random.uniform(0.1, 2.0)
        cluster.ledger.disturb(pause_s)
        cluster.targets[host].stop()
        gevent.sleep(pause_s)
        cluster.start_target(host)

    def fail_target(self) -> None:
        """Has a target fail its requests while it calls itself well."""
        target, pause_s = self._disturb_target(0.5, 3.0)
        target.fails = True
        gevent.sleep(pause_s)
        target.fails = False

    def silence_target(self) -> None:
        """Has a target answer nothing for a while; it keeps its flows."""
        target, pause_s = self._disturb_target(0.1, 2.0)
        target.is_silent = True
        gevent.sleep(pause_s)
        target.is_silent = False

    def lose_packets(self) -> None:
        """Has packets of clients get lost."""
        self._harm_packets(loss=0.05)

    def reorder_packets(self) -> None:
        """Delays some packets of clients, so that others overtake them."""
        self._harm_packets(delayed=0.3)

    def cut_balancer(self) -> None:
        """Loses everything on the way to one balancer, not back."""
        router = self._cluster.router
        host = self._random.choice(self._cluster.balancers)
        self._cluster.ledger.disturb(1.5)
        router.cut.add(host)
        gevent.sleep(1.5)
        router.cut.discard(host)

    def kill_all(self) -> None:
        """Kills every process at once and starts them again."""
        cluster = self._cluster
        cluster.ledger.disturb(1.0)
        for host in cluster.hosts:
            cluster.kill(host)
        gevent.sleep(0.3)
        for host in cluster.hosts:
            if host not in cluster.processes:
                cluster.start_process(host)

    def _inject(self, fault: Callable[[], None]) -> None:
        try:
            fault()
        except Exception as error:  # noqa: BLE001
            # A soak whose faults fail proves nothing.
            self._cluster.ledger.violate(
                'serves_after_recovery', f'{fault.__name__}: {error!r}'
            )

    def _kill(self, host: str) -> None:
        cluster = self._cluster
        pause_s = self._random.uniform(0.1, 1.5)
        cluster.ledger.disturb(pause_s)
        cluster.kill(host)
        gevent.sleep(pause_s)
        if host not in cluster.processes:
            cluster.start_process(host)

    def _disturb_target(
        self, shortest_s: float, longest_s: float
    ) -> tuple[PlatformTarget, float]:
        """Draws a target and the time for which it is to be disturbed."""
        cluster = self._cluster
        target = self._random.choice(list(cluster.targets.values()))
        pause_s = self._random.uniform(shortest_s, longest_s)
        cluster.ledger.disturb(pause_s)
        return target, pause_s

    def _harm_packets(self, *, loss: float = 0, delayed: float = 0) -> None:
        router = self._cluster.router
        self._cluster.ledger.disturb(_HARM_S)
        router.loss, router.delayed = loss, delayed
        gevent.sleep(_HARM_S)
        router.loss, router.delayed = 0, 0

    def _set_store(self, mode: str) -> None:
        store = self._cluster.store
        self._cluster.ledger.removed_s.clear()
        store.mode = mode
        gevent.sleep(self._random.uniform(0.5, 3.0))
        store.mode = 'up'
