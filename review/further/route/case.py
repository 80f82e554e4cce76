"""ROUTE: a worker starts again under its id and is of another kind."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))
import standins  # noqa: E402

LABEL = 'a'
RUN_MS = 100
DARK_SECONDS = 1.0
FIRST_PING_SECONDS = 1.4


async def submit_often(case, until):
    """Hand in jobs that require the label, at all entries in turn."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        for entry in case.entries:
            case.spawn(
                case.submit(
                    entry, case.new_key(), RUN_MS, 4, required_labels=LABEL
                )
            )
        await asyncio.sleep(0.05)


async def play(case):
    await case.start(['talca', 'curico'], ['talca', 'curico', 'talca'])
    loop = asyncio.get_running_loop()
    traffic = case.spawn(submit_often(case, loop.time() + 8.0))
    await asyncio.sleep(3.0)
    worker = case.workers[0]
    if case.trouble:
        worker.go_dark()
        await asyncio.sleep(DARK_SECONDS)
        worker.reborn(['b', 'r1-1'], FIRST_PING_SECONDS)
    await traffic
    await asyncio.sleep(0.5)
    wrong = [
        row
        for row in case.history
        if row[5] == worker.name and LABEL not in row[6] and row[7] == LABEL
    ]
    return len(wrong)


if __name__ == '__main__':
    sys.exit(standins.main(FOLDER, play))
