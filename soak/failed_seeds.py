"""Seeds that have failed, which every test run repeats."""

import tomllib
from pathlib import Path
from typing import Final

import msgspec

_PATH: Final = Path(__file__).with_name('seeds.toml')


class FailedSeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One seed that has failed.

    Attributes:
        seed: The seed.
        cause: Why it failed.
        only_planned: Whether only planned work and faults of the store were
            injected.
    """

    seed: int
    cause: str
    only_planned: bool = False


class FailedSeeds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The failed seeds by data path."""

    flows: list[FailedSeed]
    connections: list[FailedSeed]


def load_failed_seeds() -> FailedSeeds:
    """Reads ``seeds.toml``.

    Raises:
        msgspec.ValidationError: If an entry lacks a field or has others.
    """
    return msgspec.convert(tomllib.loads(_PATH.read_text()), FailedSeeds)
