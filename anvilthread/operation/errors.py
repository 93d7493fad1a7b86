"""Errors of operations on a node."""

from anvilthread.error import AnvilthreadError


class OperationError(AnvilthreadError):
    """An operation on a node did not succeed."""


class OperationTimeoutError(OperationError):
    """No answer arrived; whether the operation was done is not known."""


class OperationRefusedError(OperationError):
    """The node refused; nothing was changed."""


class OperationAnswerError(OperationError):
    """The answer cannot be understood."""
