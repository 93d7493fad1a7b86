"""Errors of operations on a node."""

from anvilthread.error import AnvilthreadError


class OperationError(AnvilthreadError):
    """An operation on a node did not succeed."""


class OperationTimeoutError(OperationError):
    """No answer arrived; it is unknown whether the operation took effect."""


class OperationRefusedError(OperationError):
    """The node refused; nothing was changed."""


class OperationAnswerError(OperationError):
    """The answer is malformed or of an unexpected type."""
