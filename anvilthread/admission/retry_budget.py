"""A limit on the load that retries add."""


class RetryBudget:
    """Allows a fixed number of retries per request.

    The budget starts empty, so that the limit holds over every run from the
    start. The allowance that may accumulate is bounded, because a quiet hour
    must not pay for a burst of retries.

    Args:
        ratio: Retries per request.
        burst: Most retries that may accumulate.
    """

    __slots__ = ('_burst', '_ratio', '_requests', '_retries', '_tokens')

    def __init__(self, *, ratio: float, burst: int = 10) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens: float = 0
        self._requests = 0
        self._retries = 0

    @property
    def requests(self) -> int:
        """Number of requests so far."""
        return self._requests

    @property
    def retries(self) -> int:
        """Number of retries so far."""
        return self._retries

    def use_ratio(self, ratio: float) -> None:
        """Replaces the retries per request."""
        self._ratio = ratio

    def record(self) -> None:
        """Counts a request."""
        self._requests += 1
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spends one retry; returns whether the budget allows it."""
        # Sums of a ratio such as 0.1 fall short of 1 by rounding.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        self._retries += 1
        return True
