"""TWICE: machines freeze while their agents carry out decided starts."""

import asyncio
import pathlib
import signal
import statistics
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

TASKS = 100
CPU = 500
"""A hundred tasks of half a core: wide, as jobs of up to 130 tasks are."""

RUN_MS = 1200
FREEZE_SECONDS = 1.4
CALIBRATION_JOBS = 5
ROUNDS = 20
FIRST_SHARE = 0.58
LAST_SHARE = 0.9
"""When machines freeze after a job was sent, as shares of the time until its
first task usually begins: from the first round to the last."""

STAGGER_SHARE = 0.1
"""Time between the freezes of two machines, as such a share."""


async def measure_begin(case):
    """Return the usual time from sending a job to its first task's begin."""
    times = []
    for number in range(CALIBRATION_JOBS):
        key = case.new_key()
        sent = case.record.now()
        await case.submit(case.entries[number % 2], key, 100, TASKS, cpu=CPU)
        begun = [
            row[2] for row in case.history if row[0].startswith(key + '.')
        ]
        if not begun:
            raise standins.CannotRun('a job was not started')
        times.append(min(begun) - sent)
        await asyncio.sleep(0.3)
    seconds = statistics.median(times)
    case.record.write('case', f'first begin after {seconds * 1000:.1f} ms')
    return seconds


async def play_round(case, number, begin_seconds):
    """Hand in one job; half of the side machines freeze as it starts."""
    record = case.record
    half = len(case.agents) // 2
    frozen = case.agents[:half] if number % 2 else case.agents[half:]
    share = FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * number / ROUNDS
    job = case.spawn(
        case.submit(
            case.entries[number // 2 % 2],
            case.new_key(),
            RUN_MS,
            TASKS,
            cpu=CPU,
        )
    )
    await asyncio.sleep(share * begin_seconds)
    if case.trouble:
        for agent in frozen:
            agent.signal(signal.SIGSTOP)
            await asyncio.sleep(STAGGER_SHARE * begin_seconds)
        names = [agent.name for agent in frozen]
        record.write('machines', f'{names} freeze')
        await asyncio.sleep(FREEZE_SECONDS)
        for agent in frozen:
            agent.signal(signal.SIGCONT)
        record.write('machines', f'{names} wake')
    await job
    await asyncio.sleep(1.5)


async def play(case):
    await case.start(['talca', 'curico'], ['talca', 'curico'] * 2)
    for worker in case.workers:
        worker.max_runs = standins.CORES // CPU
    begin_seconds = await measure_begin(case)
    for number in range(ROUNDS):
        await play_round(case, number, begin_seconds)
    return case.report_overlaps()


if __name__ == '__main__':
    sys.exit(standins.main(FOLDER, play))
