"""Which of the ends that a worker lists were handled and acknowledged."""

_NO_LIST_YET = -1


class ListedEnds:
    """Numbers of the ends of one incarnation of a worker.

    :ivar last_number: number of the last end that was handled; 0 for none.
    """

    def __init__(self) -> None:
        self.last_number = 0
        self._acknowledged_number = 0

    def reset(self) -> None:
        """Expect the lists of another incarnation."""
        self.last_number = 0
        self._acknowledged_number = _NO_LIST_YET

    @property
    def listed(self) -> bool:
        """Whether any list of this incarnation has arrived."""
        return self._acknowledged_number != _NO_LIST_YET

    @property
    def acknowledged(self) -> bool:
        """Whether the worker knows that all ends were handled."""
        return self._acknowledged_number == self.last_number

    def record_list(self) -> None:
        """Record a list, whose request acknowledged the last end."""
        self._acknowledged_number = self.last_number

    def record(self, number: int) -> bool:
        """Record an end; return whether it wasn't handled before."""
        if number <= self.last_number:
            return False
        self.last_number = number
        return True
