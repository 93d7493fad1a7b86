"""Waits during which the clients of this process keep running."""

import time
from collections.abc import Callable
from typing import Final, TypeVar

import gevent

TIMEOUT_S: Final = 15
_POLL_S: Final = 0.05

Result = TypeVar('Result')


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Waits for a condition while clients keep running."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, f'not reached: {description}'
        gevent.sleep(_POLL_S)


def run_in_thread(
    function: Callable[..., Result], *arguments: object
) -> Result:
    """Runs a blocking function in a thread, so that clients keep running."""
    return gevent.get_hub().threadpool.apply(function, arguments)
