"""Waits that let the clients of this process go on."""

import time
from collections.abc import Callable
from typing import Final, TypeVar

import gevent

LIMIT_S: Final = 15
_POLL_S: Final = 0.05

Found = TypeVar('Found')


def wait_until(condition: Callable[[], bool], text: str) -> None:
    """Waits for a condition while clients go on."""
    end_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, f'not reached: {text}'
        gevent.sleep(_POLL_S)


def in_thread(run: Callable[..., Found], *arguments: object) -> Found:
    """Runs what blocks in a thread, so that clients go on."""
    return gevent.get_hub().threadpool.apply(run, arguments)
