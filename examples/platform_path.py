"""The platform's programs at work, on stand-ins of its store and workers.

Three entries and four agents run as processes of their own, as the platform
starts them; callers hand jobs in for some seconds.  Printed are the answers
by status and the story of one job, from the logs of all processes.

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
    """Play a calm day; 0 if all promises were kept."""
    with tempfile.TemporaryDirectory() as folder:
        broken, answered = soak.play(1, SECONDS, folder, faults=())
        logs = sorted(str(path) for path in pathlib.Path(folder).glob('*.log'))
        print(explain.explain(JOB, tuple(logs)).text)
    print(f'answers by status: {answered}')
    for one in broken:
        print(f'broken: {one.promise}: {one.detail}')
    print(f'promises broken: {len(broken)}')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
