"""Faults and changes on the path of connections, in overlapping series."""

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

#: Longest pause of a process: connections must survive it, and they end
#: after some seconds without an answer.
_PAUSE_S: Final = 0.6

#: Balancers and targets of a service that are left alone, so that there is
#: always one to go to.
_LEFT: Final = 2

#: Faults and changes that overlap at most.
_AT_ONCE: Final = 3


class ConnectionFaults:
    """Changes one cluster at random until the time is over.

    Args:
        cluster: A cluster that serves.
        random: Source of every choice.
    """

    def __init__(self, *, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._balancers = [1, 2, 3]
        self._services, count = cluster.firm.pools[0]
        self._targets = list(range(1, count + 1))
        self._next_number = 20
        self._store = Lock()
        self.injected: Counter[str] = Counter()
        #: Faults that could not be injected, which proves nothing.
        self.failures: list[str] = []
        self._kinds: tuple[Callable[[], None], ...] = (
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
            self.lose_packets,
            self.reorder_packets,
            self.apply,
        )

    def run(self, seconds: float) -> None:
        """Injects faults, some of them at the same time."""
        deadline_s = time.monotonic() + seconds
        with ThreadPoolExecutor(max_workers=_AT_ONCE) as pool:
            running: list[Future[None]] = []
            while time.monotonic() < deadline_s:
                running = [it for it in running if not it.done()]
                if len(running) < _AT_ONCE:
                    kind = self._random.choice(self._kinds)
                    running.append(pool.submit(self._inject, kind))
                time.sleep(self._random.uniform(0.1, 0.8))

    def kill_balancer(self) -> None:
        """Kills a balancer and starts another one."""
        if len(self._balancers) <= _LEFT:
            return
        number = self._take(self._balancers)
        self._cluster.kill_balancer(number)
        # The fabric notices later than the balancer dies.
        time.sleep(0.2)
        self._cluster.update_fabric()
        self._add_balancer()

    def withdraw_balancer(self) -> None:
        """Replaces a balancer by another one."""
        if len(self._balancers) <= _LEFT:
            return
        number = self._take(self._balancers)
        self._add_balancer()
        self._cluster.withdraw_balancer(number)

    def drain_target(self) -> None:
        """Adds a target and drains another one."""
        if len(self._targets) <= _LEFT:
            return
        number = self._take(self._targets)
        self._add_target()
        self._cluster.drain_target(number, from_answer=True)

    def kill_target(self) -> None:
        """Kills a target with its agent, and adds another one."""
        if len(self._targets) <= _LEFT:
            return
        number = self._take(self._targets)
        self._cluster.kill_target(number)
        self._add_target()

    def pause_agent(self) -> None:
        """Pauses an agent."""
        self._pause(f'agent-{self._random.choice(self._targets)}')

    def pause_balancer(self) -> None:
        """Pauses a balancer."""
        self._pause(f'balancer-{self._random.choice(self._balancers)}')

    def reload(self) -> None:
        """Sends SIGHUP."""
        number = self._random.choice(self._targets)
        self._signal(f'agent-{number}', signal.SIGHUP)

    def stop_store(self) -> None:
        """Has the store fail every call."""
        self._harm_store(outage=True)

    def slow_store(self) -> None:
        """Has the store answer late."""
        self._harm_store(delay_ms=500)

    def lose_answers(self) -> None:
        """Has writes take effect without an answer."""
        self._harm_store(lost_answers=3)

    def lose_packets(self) -> None:
        """Has the fabric lose packets."""
        self._harm_fabric(loss=0.03)

    def reorder_packets(self) -> None:
        """Has packets overtake each other."""
        self._harm_fabric(reorder=0.2)

    def apply(self) -> None:
        """Applies a configuration."""
        # What the store has not accepted is not promised to anybody.
        with self._store:
            self._cluster.submit(self._random.randint(5000, 9000))

    def _inject(self, fault: Callable[[], None]) -> None:
        self.injected[fault.__name__] += 1
        try:
            fault()
        except CalledProcessError as error:
            self.failures.append(f'{fault.__name__}: {error.stderr!r}')
        except Exception as error:  # noqa: BLE001
            # A soak whose faults fail proves nothing.
            self.failures.append(f'{fault.__name__}: {error!r}')

    def _take(self, numbers: list[int]) -> int:
        number = self._random.choice(numbers)
        numbers.remove(number)
        return number

    def _add_balancer(self) -> None:
        number = self._number()
        self._cluster.add_balancer(number)
        self._balancers.append(number)

    def _add_target(self) -> None:
        number = self._number()
        self._cluster.add_target(number, self._services)
        self._cluster.wait_ready(2, number)
        self._targets.append(number)

    def _number(self) -> int:
        self._next_number += 1
        return self._next_number

    def _pause(self, name: str) -> None:
        self._signal(name, signal.SIGSTOP)
        time.sleep(self._random.uniform(0.05, _PAUSE_S))
        self._signal(name, signal.SIGCONT)

    def _signal(self, name: str, number: signal.Signals) -> None:
        if name in self._cluster.processes.names():
            os.kill(self._cluster.processes.pid(name), number)

    def _harm_store(self, **faults: object) -> None:
        with self._store:
            self._cluster.set_store(**faults)
            time.sleep(self._random.uniform(0.3, 2.0))
            self._cluster.set_store()

    def _harm_fabric(self, **faults: float) -> None:
        self._cluster.send_fabric(**faults)
        time.sleep(self._random.uniform(0.3, 1.5))
        self._cluster.send_fabric(**dict.fromkeys(faults, 0))
