"""Store calls in a process whose sockets gevent has patched."""

import subprocess
import sys

_SCRIPT = """
from gevent import monkey

monkey.patch_all()

import gevent

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.store.consul_store import ConsulStore
from standins.store import StoreServer

clock = SystemClock()
server = StoreServer(
    listen=Address(host='127.0.0.1', port=0), clock=clock, seed=1
)
server.start()
store = ConsulStore(url=server.url, clock=clock)
calls = [gevent.spawn(store.get, 'a') for _ in range(8)]
calls += [gevent.spawn(store.watch, 'a', 0, 200) for _ in range(8)]
gevent.joinall(calls, timeout=20)
print(sum(call.successful() and call.value.is_ok() for call in calls))
"""


def test_concurrent_calls_succeed() -> None:
    """Guards against patched locks that are shared between threads.

    Calls in native threads failed with "Cannot switch to a different thread",
    which ended the task that watches the store.
    """
    completed = subprocess.run(
        (sys.executable, '-c', _SCRIPT),
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert completed.stderr == b''
    assert completed.stdout == b'16\n'
