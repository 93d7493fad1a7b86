"""Limits that apply to every test."""

import faulthandler
from collections.abc import Iterator
from typing import Final

import pytest

#: A test that blocks for this long would hang the whole run; it ends the
#: run with the stacks of all threads instead.
_TEST_LIMIT_S: Final = 120


@pytest.fixture(autouse=True)
def _limit() -> Iterator[None]:
    """Guards against a run that never ends."""
    faulthandler.dump_traceback_later(_TEST_LIMIT_S, exit=True)
    yield
    faulthandler.cancel_dump_traceback_later()
