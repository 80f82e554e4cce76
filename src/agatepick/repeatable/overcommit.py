"""Runs at a worker that has shrunk below what runs there.

Load pattern: a worker's capacity shrinks while its runs and starts on their
way fill it.  If starts without an answer were sent again there, they would
bring it further over its capacity.  If runs were stopped until the rest fits,
their work would be lost, and their tasks would wait for room while there is
less of it than before.

So whatever a worker has taken runs to its end.  One that an over-full worker
slows down is a straggler, which its entry moves if that is expected to gain
time.  Only a start that isn't known to have been carried out is given up.
"""

from agatepick.repeatable import runs


def must_give_up(run: runs.Run, over_full: bool) -> bool:
    """Return whether a run is stopped for the sake of the worker's capacity.

    :param over_full: whether more is in use than the worker has.
    """
    answer_possible = run.unanswered_start_count > 0
    return over_full and not run.confirmed_at and not answer_possible
