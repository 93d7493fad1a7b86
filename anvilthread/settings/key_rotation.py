"""The steps of a key rotation."""

from collections.abc import Callable
from enum import StrEnum
from typing import Final, TypeVar

from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError
from anvilthread.routing.connection_id_codec import KEY_NUMBERS
from anvilthread.settings.key_ring import KeyRing

KeyT = TypeVar('KeyT')


class RotationStep(StrEnum):
    """One step of a rotation; every node gets the file after each step."""

    ADD = 'add'
    ACTIVATE = 'activate'
    REMOVE = 'remove'


class KeyRotationError(AnvilthreadError):
    """A step of a rotation is out of order."""


def rotate(
    ring: KeyRing[KeyT], step: RotationStep, make_key: Callable[[], KeyT]
) -> Result[KeyRing[KeyT], KeyRotationError]:
    """Applies one step of a rotation.

    The order is add, activate, remove. A key is accepted everywhere before
    any node uses it, and used nowhere before it is removed.

    Args:
        ring: Keys of one kind.
        step: The step.
        make_key: Generates the key that ``add`` needs.

    Returns:
        The changed keys, or an error that names the step that is due.
    """
    due = _due_step(ring)
    if step is not due:
        return Err(
            KeyRotationError(
                reason=f'step {step} is out of order: {_STATE_BY_STEP[due]}',
                remedy=f'the step that is due is `--step {due}`',
            )
        )
    next_number = _next_number(ring.active)
    if step is RotationStep.ADD:
        keys = {**ring.keys, next_number: make_key()}
        return Ok(KeyRing(keys=keys, active=ring.active))
    if step is RotationStep.ACTIVATE:
        return Ok(KeyRing(keys=ring.keys, active=next_number))
    return Ok(KeyRing(keys={ring.active: ring.current}, active=ring.active))


_STATE_BY_STEP: Final = {
    RotationStep.ADD: 'there is one key',
    RotationStep.ACTIVATE: 'a new key was added but is not active',
    RotationStep.REMOVE: 'an old key is still accepted',
}


def _due_step(ring: KeyRing[KeyT]) -> RotationStep:
    if len(ring.keys) == 1:
        return RotationStep.ADD
    # Numbers wrap around; the key that follows the active one is the newer.
    if _next_number(ring.active) in ring.keys:
        return RotationStep.ACTIVATE
    return RotationStep.REMOVE


def _next_number(number: int) -> int:
    return (number + 1) % len(KEY_NUMBERS)
