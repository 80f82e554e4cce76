"""EVAC: channels to the store go silent just before a zone is evacuated."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent))
import standins  # noqa: E402

ZONE = 'talca'
EVACUATION_SECONDS = standins.BOUNDS['evacuation_ms'] / 1000.0
CONTACT_SECONDS = standins.BOUNDS['contact_ms'] / 1000.0
RUN_MS = 100
WATCH_SECONDS = 9.0
ENTRIES_CALL_SECONDS = 2.2
"""Greatest age of the agent's call for changes of the entries: an older one
would time out first and use up the idle channel."""

ROWS_CALL_SECONDS = 0.4
"""Greatest age of its call for changes of the operator's rows, where that call
comes first."""

IN_FLIGHT_SECONDS = 0.05
"""Time that is allowed beyond the bound for a start on its way."""


async def submit_often(case, until):
    """Hand in small jobs at all entries, in turn."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        for entry in case.entries:
            case.spawn(case.submit(entry, case.new_key(), RUN_MS, 4))
        await asyncio.sleep(0.05)


async def play(case):
    await case.start(['talca', 'curico'], ['talca', 'curico', 'curico'])
    record = case.record
    loop = asyncio.get_running_loop()
    # Calm time, longer than contact_ms, before anything happens.
    calm = case.spawn(submit_often(case, loop.time() + 4.0))
    await calm
    asked = asyncio.Event()
    asked_at = {b'op': -10.0, b'agatepick-entries': -10.0}

    def on_data(direction, data):
        for table in asked_at:
            if b'/v1/rows-feed?table=' + table + b'&' not in data:
                continue
            now = asked_at[table] = record.now()
            entries_age = now - asked_at[b'agatepick-entries']
            rows_age = now - asked_at[b'op']
            if (
                entries_age < ENTRIES_CALL_SECONDS
                and rows_age < ROWS_CALL_SECONDS
            ):
                asked.set()
        return True

    agent = next(one for one in case.agents if one.zone == ZONE)
    agent.store.on_data = on_data
    await asyncio.wait_for(asked.wait(), 20.0)
    traffic = case.spawn(submit_often(case, loop.time() + WATCH_SECONDS))
    silent_at = record.now()
    if case.trouble:
        processes = [*case.entries, *case.agents]
        count = sum(one.store.silence() for one in processes)
        record.write(
            'network', f'{count} channels to the store are silent for good'
        )
    await asyncio.sleep(0.05)
    case.store.put('op', f'evacuate/{ZONE}', {})
    acknowledged_at = record.now()
    record.write('operator', f'evacuates {ZONE}, acknowledged')
    await traffic
    bound = max(
        acknowledged_at + EVACUATION_SECONDS, silent_at + CONTACT_SECONDS
    )
    zones = {worker.name: worker.zone for worker in case.workers}
    late = [
        row
        for row in case.history
        if zones[row[5]] == ZONE and row[2] > bound + IN_FLIGHT_SECONDS
    ]
    starts = [
        row[2] - acknowledged_at
        for row in case.history
        if zones[row[5]] == ZONE
    ]
    record.write(
        'case',
        f'last start in {ZONE} {max(starts):.2f} s after the acknowledgement,'
        f' EVAC allows {EVACUATION_SECONDS} s; {len(late)} starts are later',
    )
    return len(late)


if __name__ == '__main__':
    sys.exit(standins.main(FOLDER, play))
