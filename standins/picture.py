"""Large content that a reader can check."""

from collections.abc import Iterator
from random import Random
from typing import Final

_BLOCK_BYTES: Final = 65_536


def picture(size: int, seed: int) -> Iterator[bytes]:
    """Yields the content of a picture in blocks.

    Args:
        size: Length in bytes.
        seed: Pictures with different seeds differ in every block.
    """
    for offset in range(0, size, _BLOCK_BYTES):
        random = Random(f'{seed}:{offset}')
        yield random.randbytes(min(_BLOCK_BYTES, size - offset))
