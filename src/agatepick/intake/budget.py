"""Memory of the jobs whose callers wait for an answer.

Load pattern: many jobs of thousands of tasks each.  One alone is fine; all of
them together fill the memory, and with it goes every other caller's job.
"""

JOB_BYTES = 4096
"""Memory of a job without its tasks and its input."""

TASK_BYTES = 1500
"""Memory of a task from its submission to the answer of its job."""

REFERENCE_BYTES = 100
"""Memory of an earlier step that a step waits for."""

LEFT_SHARE = 0.5
"""Largest share of the memory that is left which one job may take up.  Small
jobs find room long after large ones are refused."""


class JobBudget:
    """A limit on the memory of all jobs of a process together.

    :ivar held: bytes that are taken up.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.held = 0

    def reserve(self, cost: int) -> bool:
        """Reserve memory for a job, if there is enough.

        A job that is alone gets all of it.
        """
        left = self.max_bytes - self.held
        if cost > (LEFT_SHARE * left if self.held else left):
            return False
        self.held += cost
        return True

    def release(self, cost: int) -> None:
        """Return what was reserved for a job."""
        self.held -= cost


def estimate_job_bytes(payload: int, tasks: int, references: int) -> int:
    """Return the memory of a job.

    :param payload: bytes of its input.
    :param references: number of steps that its steps wait for, in all.
    """
    of_steps = TASK_BYTES * tasks + REFERENCE_BYTES * references
    return JOB_BYTES + payload + of_steps
