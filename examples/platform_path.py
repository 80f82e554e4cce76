"""Demo of the platform's entries and agents with stand-in store and workers.

Three entries and four agents run as separate processes, as the platform starts
them, and callers submit jobs for some seconds.  The demo prints the history of
one job, from the logs of all processes, and the answers by status.

Run from the checkout by ``make demo-platform``.
"""

import pathlib
import sys
import tempfile

from agatepick.cmd import explain
from tests import soak

SECONDS = 3.0
JOB = f'{7:016x}'


def main() -> int:
    """Run the demo without faults; return 0 if no guarantee was violated."""
    with tempfile.TemporaryDirectory() as folder:
        violations, answer_counts = soak.run_seed(
            1, SECONDS, folder, faults=()
        )
        logs = sorted(str(path) for path in pathlib.Path(folder).glob('*.log'))
        print(explain.explain(JOB, tuple(logs)).text)
    print(f'answers by status: {answer_counts}')
    for violation in violations:
        print(f'broken: {violation.guarantee}: {violation.detail}')
    print(f'promises broken: {len(violations)}')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
