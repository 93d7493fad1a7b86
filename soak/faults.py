"""Faults injected from outside the processes, some of them concurrently."""

import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

import gevent
from gevent.pool import Group

from soak.cluster import EXTRA_PORT, SoakCluster
from standins.platform_target import PlatformTarget

#: Longest time from SIGTERM to the exit that the platform allows.
_STOP_TIMEOUT_S: Final = 6.0

#: Time for which the links of clients lose or delay packets: several
#: retransmission intervals of clients and targets.
_LINK_FAULT_S: Final = 2.0

#: Longest time for which a fault of the store lasts.
_MAX_STORE_FAULT_S: Final = 3.0

#: Time for which a site is evacuated: the limit of 5 s and some seconds more.
_EVACUATION_S: Final = (6.0, 12.0)


class Faults:
    """Injects random faults and counts them by name.

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
            self.restore_store,
            self.refuse_nodes,
            self.evacuate_site,
            self.pause_target,
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
        """Injects faults for some seconds and waits until all have ended.

        Args:
            seconds: Time in which faults are started.
            only_planned: Whether only planned work and faults of the store
                are injected.
        """
        deadline_s = time.monotonic() + seconds
        kinds: tuple[Callable[[], None], ...] = self.planned
        if not only_planned:
            kinds = (*self.planned, *self.unplanned)
        while time.monotonic() < deadline_s:
            fault = self._random.choice(kinds)
            self.injected[fault.__name__] += 1
            self._tasks.spawn(self._inject, fault)
            gevent.sleep(self._random.uniform(0.1, 1.2))
        # Each fault restarts what it has stopped.
        self._tasks.join()

    def restart_balancer(self) -> None:
        """Stops a balancer with SIGTERM and starts it again."""
        cluster = self._cluster
        running_balancers = [
            balancer
            for balancer in cluster.balancers
            if balancer in cluster.processes
        ]
        # Routers need another balancer in rotation to send the packets to.
        if len(running_balancers) < 2:
            return
        host = self._random.choice(running_balancers)
        cluster.signal(host, signal.SIGTERM)
        if not cluster.wait_exit(host, _STOP_TIMEOUT_S):
            cluster.checker.record_violation(
                'serves_after_recovery', f'{host} stays'
            )
            cluster.kill(host)
        gevent.sleep(0.3)
        if host not in cluster.processes:
            cluster.start_process(host)

    def reload(self) -> None:
        """Sends SIGHUP to a random process."""
        host = self._random.choice(self._cluster.hosts)
        self._cluster.signal(host, signal.SIGHUP)

    def drain_target(self) -> None:
        """Drains a target and then replaces it."""
        cluster = self._cluster
        host = self._random.choice(list(cluster.targets))
        target = cluster.targets[host]
        target.drain()
        gevent.sleep(2.0)
        if cluster.targets.get(host) is target:
            cluster.start_target(host)

    def change_route(self) -> None:
        """Adds the extra route and removes it later."""
        cluster = self._cluster
        removal_times_s = cluster.checker.route_removed_s
        removal_times_s.pop(EXTRA_PORT, None)
        cluster.configure((EXTRA_PORT,))
        gevent.sleep(self._random.uniform(0.2, 2.0))
        cluster.configure(())
        if cluster.store.mode == 'up' and not cluster.store.refused:
            removal_times_s[EXTRA_PORT] = time.monotonic()

    def silence_store(self) -> None:
        """Makes the store answer nothing."""
        self._set_store('silent')

    def busy_store(self) -> None:
        """Makes the store reject every call as busy."""
        self._set_store('busy')

    def slow_store(self) -> None:
        """Makes the store answer late."""
        self._set_store('slow')

    def lose_answers(self) -> None:
        """Makes the store lose half of its answers."""
        self._set_store('lost')

    def restore_store(self) -> None:
        """Brings the store back from a copy that lacks the latest writes.

        The operator writes the lost configuration again, mostly before any
        node has read the copy.
        """
        cluster = self._cluster
        copy = cluster.store.save_copy()
        gevent.sleep(self._random.uniform(0.2, 4.0))
        cluster.store.mode = 'silent'
        pause_s = self._random.uniform(0.1, 1.5)
        cluster.evacuations.delay(pause_s)
        gevent.sleep(pause_s)
        cluster.store.restore_copy(copy)
        cluster.store.mode = 'up'
        gevent.sleep(self._random.choice((0, 0, 0.6)))
        removal_times_s = cluster.checker.route_removed_s
        cluster.write_configuration()
        # A request of the last seconds may have been lost unread.
        cluster.evacuations.delay(0)
        if EXTRA_PORT in removal_times_s:
            # The removal may have been lost before any node had read it.
            removal_times_s[EXTRA_PORT] = time.monotonic()

    def evacuate_site(self) -> None:
        """Evacuates a site for longer than the limit, and takes it back."""
        cluster = self._cluster
        # The other sites must be able to serve.
        if cluster.evacuations.sites:
            return
        hosts = list(cluster.services)
        site = cluster.site_of(self._random.choice(hosts))
        cluster.evacuations.start(site)
        if cluster.store.mode != 'up':
            cluster.evacuations.delay(_MAX_STORE_FAULT_S)
        gevent.sleep(self._random.uniform(*_EVACUATION_S))
        cluster.evacuations.end(site)

    def refuse_nodes(self) -> None:
        """Makes the store reject the calls of two nodes."""
        store = self._cluster.store
        store.refused = set(self._random.sample(self._cluster.hosts, 2))
        gevent.sleep(self._random.uniform(0.5, 3.0))
        store.refused = set()

    def pause_target(self) -> None:
        """Pauses a target; it keeps its flows, and none of them may be reset.

        Therefore it is not recorded as a fault, after which resets of live
        flows would be excused.
        """
        target = self._random.choice(list(self._cluster.targets.values()))
        target.pause()
        gevent.sleep(self._random.uniform(0.1, 1.5))
        target.resume()

    def kill_balancer(self) -> None:
        """Kills a balancer and starts it again."""
        self._kill(self._random.choice(self._cluster.balancers))

    def kill_agent(self) -> None:
        """Kills an agent, but not its target, and starts it again."""
        self._kill(self._random.choice(list(self._cluster.services)))

    def freeze(self) -> None:
        """Pauses a random process."""
        cluster = self._cluster
        host = self._random.choice(cluster.hosts)
        pause_s = self._random.uniform(0.2, 2.0)
        cluster.checker.record_fault(pause_s)
        cluster.signal(host, signal.SIGSTOP)
        gevent.sleep(pause_s)
        cluster.signal(host, signal.SIGCONT)

    def crash_target(self) -> None:
        """Ends a target without a drain and starts another one."""
        cluster = self._cluster
        host = self._random.choice(list(cluster.targets))
        pause_s = self._random.uniform(0.1, 2.0)
        cluster.checker.record_fault(pause_s)
        cluster.targets[host].stop()
        gevent.sleep(pause_s)
        cluster.start_target(host)

    def fail_target(self) -> None:
        """Makes a target fail requests while its heartbeats report no fault."""
        target, pause_s = self._start_target_fault(0.5, 3.0)
        target.fails = True
        gevent.sleep(pause_s)
        target.fails = False

    def silence_target(self) -> None:
        """Makes a target drop all packets for a while; it keeps its flows."""
        target, pause_s = self._start_target_fault(0.1, 2.0)
        target.is_silent = True
        gevent.sleep(pause_s)
        target.is_silent = False

    def lose_packets(self) -> None:
        """Drops some packets of clients."""
        self._impair_links(loss=0.05)

    def reorder_packets(self) -> None:
        """Delays some packets of clients, so that they arrive out of order."""
        self._impair_links(delay_share=0.3)

    def cut_balancer(self) -> None:
        """Drops all packets to one balancer, but none from it."""
        router = self._cluster.router
        host = self._random.choice(self._cluster.balancers)
        self._cluster.checker.record_fault(1.5)
        router.cut.add(host)
        gevent.sleep(1.5)
        router.cut.discard(host)

    def kill_all(self) -> None:
        """Kills all processes at once and starts them again."""
        cluster = self._cluster
        cluster.checker.record_fault(1.0)
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
            # A soak whose faults cannot be injected proves nothing.
            self._cluster.checker.record_violation(
                'serves_after_recovery', f'{fault.__name__}: {error!r}'
            )

    def _kill(self, host: str) -> None:
        cluster = self._cluster
        pause_s = self._random.uniform(0.1, 1.5)
        cluster.checker.record_fault(pause_s)
        cluster.kill(host)
        gevent.sleep(pause_s)
        if host not in cluster.processes:
            cluster.start_process(host)

    def _start_target_fault(
        self, shortest_s: float, longest_s: float
    ) -> tuple[PlatformTarget, float]:
        """Chooses a target and the duration of its fault, and records it."""
        cluster = self._cluster
        target = self._random.choice(list(cluster.targets.values()))
        pause_s = self._random.uniform(shortest_s, longest_s)
        cluster.checker.record_fault(pause_s)
        return target, pause_s

    def _impair_links(self, *, loss: float = 0, delay_share: float = 0) -> None:
        router = self._cluster.router
        self._cluster.checker.record_fault(_LINK_FAULT_S)
        router.loss, router.delay_share = loss, delay_share
        gevent.sleep(_LINK_FAULT_S)
        router.loss, router.delay_share = 0, 0

    def _set_store(self, mode: str) -> None:
        store = self._cluster.store
        self._cluster.checker.route_removed_s.clear()
        pause_s = self._random.uniform(0.5, 3.0)
        self._cluster.evacuations.delay(pause_s)
        store.mode = mode
        gevent.sleep(pause_s)
        store.mode = 'up'
