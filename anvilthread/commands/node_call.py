"""Operations on a node from the command line."""

from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import TypeVar

from result import Err, Result

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.commands import components
from anvilthread.commands.command_failure import CommandFailure, require
from anvilthread.commands.exit_code import ExitCode
from anvilthread.operation import (
    OperationClient,
    OperationError,
    OperationRefusedError,
)
from anvilthread.settings import KeyFile

AnswerT = TypeVar('AnswerT')


class NodeCall:
    """Runs one operation on a node.

    Args:
        node: Request address of the node.
        keys: Path of the key file.
        bind: Address for the answers, or None for a free port of the source IP.
    """

    __slots__ = ('_bind', '_keys', '_node')

    def __init__(
        self, *, node: Address, keys: Path, bind: Address | None
    ) -> None:
        self._node = node
        self._keys = keys
        self._bind = bind

    def run(
        self,
        operation: Callable[
            [OperationClient, Address], Result[AnswerT, OperationError]
        ],
    ) -> AnswerT:
        """Runs an operation.

        Args:
            operation: Called with a client and the address of the node.

        Returns:
            The answer of the node.

        Raises:
            CommandFailure: If the node refuses or does not answer.
        """
        clock = SystemClock()
        transport = components.open_transport(
            keys=require(KeyFile(path=self._keys).load()),
            node=self._node,
            bind=self._bind,
            clock=clock,
        )
        client = OperationClient(
            transport=transport, clock=clock, random=SystemRandom()
        )
        outcome = operation(client, self._node)
        client.close()
        transport.close()
        if isinstance(outcome, Err):
            raise _failure(outcome.err_value)
        return outcome.ok_value


def _failure(error: OperationError) -> CommandFailure:
    if isinstance(error, OperationRefusedError):
        return CommandFailure(error=error, exit_code=ExitCode.REFUSED)
    return CommandFailure(error=error, exit_code=ExitCode.NO_ANSWER)
