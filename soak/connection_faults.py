"""Faults and changes on the connection path, some of them concurrently."""

import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from random import Random
from subprocess import CalledProcessError
from threading import Lock
from typing import Final

from demo.cluster import Cluster

#: Longest pause of a process. Connections must survive it; they end after
#: some seconds without an answer.
_MAX_PAUSE_S: Final = 0.6

#: Balancers, and targets of a service, that are never removed, so that one is
#: always available.
_MIN_INSTANCES: Final = 2

_MAX_CONCURRENT_FAULTS: Final = 3

#: Time until a change is in force at the nodes, and until they have written
#: back what a restore of the store took away.
_IN_FORCE_S: Final = 3.0


class ConnectionFaults:
    """Injects random faults and changes into one cluster.

    Args:
        cluster: A running cluster.
        random: Source of randomness.
    """

    def __init__(self, *, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._balancers = [1, 2, 3]
        self._services, count = cluster.plan.pools[0]
        self._targets = list(range(1, count + 1))
        self._next_number = 20
        self._store_lock = Lock()
        self.injected: Counter[str] = Counter()
        #: Errors of faults that could not be injected; such a run proves
        #: nothing.
        self.failures: list[str] = []
        self._faults: tuple[Callable[[], None], ...] = (
            self.kill_balancer,
            self.withdraw_balancer,
            self.drain_target,
            self.kill_target,
            self.pause_agent,
            self.pause_balancer,
            self.reload,
            self.stop_store,
            self.slow_store,
            self.lose_answers,
            self.restore_store,
            self.lose_packets,
            self.reorder_packets,
            self.apply,
        )

    def run(self, seconds: float) -> None:
        """Injects faults for some seconds and waits until all have ended."""
        deadline_s = time.monotonic() + seconds
        with ThreadPoolExecutor(max_workers=_MAX_CONCURRENT_FAULTS) as pool:
            running: list[Future[None]] = []
            while time.monotonic() < deadline_s:
                running = [future for future in running if not future.done()]
                if len(running) < _MAX_CONCURRENT_FAULTS:
                    fault = self._random.choice(self._faults)
                    running.append(pool.submit(self._inject, fault))
                time.sleep(self._random.uniform(0.1, 0.8))

    def kill_balancer(self) -> None:
        """Kills a balancer and starts another one."""
        if len(self._balancers) <= _MIN_INSTANCES:
            return
        number = self._remove_random(self._balancers)
        self._cluster.kill_balancer(number)
        # The fabric detects the death of a balancer with a delay.
        time.sleep(0.2)
        self._cluster.update_fabric()
        self._add_balancer()

    def withdraw_balancer(self) -> None:
        """Starts another balancer and stops one gracefully."""
        if len(self._balancers) <= _MIN_INSTANCES:
            return
        number = self._remove_random(self._balancers)
        self._add_balancer()
        self._cluster.withdraw_balancer(number)

    def drain_target(self) -> None:
        """Adds a target and drains another one."""
        if len(self._targets) <= _MIN_INSTANCES:
            return
        number = self._remove_random(self._targets)
        self._add_target()
        self._cluster.drain_target(number, from_answer=True)

    def kill_target(self) -> None:
        """Kills a target with its agent, and adds another one."""
        if len(self._targets) <= _MIN_INSTANCES:
            return
        number = self._remove_random(self._targets)
        self._cluster.kill_target(number)
        self._add_target()

    def pause_agent(self) -> None:
        """Pauses a random agent."""
        self._pause(f'agent-{self._random.choice(self._targets)}')

    def pause_balancer(self) -> None:
        """Pauses a random balancer."""
        self._pause(f'balancer-{self._random.choice(self._balancers)}')

    def reload(self) -> None:
        """Sends SIGHUP to a random agent."""
        number = self._random.choice(self._targets)
        self._signal(f'agent-{number}', signal.SIGHUP)

    def stop_store(self) -> None:
        """Makes the store fail every call."""
        self._inject_store_fault(outage=True)

    def slow_store(self) -> None:
        """Makes the store answer late."""
        self._inject_store_fault(delay_ms=500)

    def lose_answers(self) -> None:
        """Makes the store lose answers of writes that it has applied."""
        self._inject_store_fault(lost_answers=3)

    def restore_store(self) -> None:
        """Brings the store back from a copy that lacks a change in force.

        The next change is based on the lost one, so the store refuses it
        unless the nodes have written the lost one back.
        """
        with self._store_lock:
            self._cluster.save_store_copy()
            # Waiting for each node would fail beside a fault that ends one.
            self._cluster.submit(self._random.randint(5000, 9000))
            time.sleep(_IN_FORCE_S)
            self._cluster.set_store(outage=True)
            time.sleep(self._random.uniform(0.1, 2.0))
            self._cluster.restore_store_copy()
            self._cluster.set_store()
            time.sleep(_IN_FORCE_S)
            self._cluster.submit(self._random.randint(5000, 9000))

    def lose_packets(self) -> None:
        """Makes the fabric lose packets."""
        self._inject_fabric_fault(loss=0.03)

    def reorder_packets(self) -> None:
        """Makes the fabric reorder packets."""
        self._inject_fabric_fault(reorder=0.2)

    def apply(self) -> None:
        """Applies a configuration."""
        # Nothing is guaranteed for a configuration that the store has not
        # accepted, so that none is applied during a fault of the store.
        with self._store_lock:
            self._cluster.submit(self._random.randint(5000, 9000))

    def _inject(self, fault: Callable[[], None]) -> None:
        self.injected[fault.__name__] += 1
        try:
            fault()
        except CalledProcessError as error:
            self.failures.append(f'{fault.__name__}: {error.stderr!r}')
        except Exception as error:  # noqa: BLE001
            # A soak whose faults cannot be injected proves nothing.
            self.failures.append(f'{fault.__name__}: {error!r}')

    def _remove_random(self, numbers: list[int]) -> int:
        number = self._random.choice(numbers)
        numbers.remove(number)
        return number

    def _add_balancer(self) -> None:
        number = self._allocate_number()
        self._cluster.add_balancer(number)
        self._balancers.append(number)

    def _add_target(self) -> None:
        number = self._allocate_number()
        self._cluster.add_target(number, self._services)
        self._cluster.wait_ready(2, number)
        self._targets.append(number)

    def _allocate_number(self) -> int:
        self._next_number += 1
        return self._next_number

    def _pause(self, name: str) -> None:
        self._signal(name, signal.SIGSTOP)
        time.sleep(self._random.uniform(0.05, _MAX_PAUSE_S))
        self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        if name in self._cluster.processes.names():
            os.kill(self._cluster.processes.pid(name), number)

    def _inject_store_fault(self, **faults: object) -> None:
        with self._store_lock:
            self._cluster.set_store(**faults)
            time.sleep(self._random.uniform(0.3, 2.0))
            self._cluster.set_store()

    def _inject_fabric_fault(self, **faults: float) -> None:
        self._cluster.send_fabric(**faults)
        time.sleep(self._random.uniform(0.3, 1.5))
        self._cluster.send_fabric(**dict.fromkeys(faults, 0))
