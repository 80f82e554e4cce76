"""Tasks start on a worker that has come back as another kind."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig_3  # noqa: E402

DOWN_SECONDS = 1.0
JOB_AFTER_SECONDS = 0.5
WORK_SECONDS = 0.06
LABEL = 'a'
TASKS = 24


async def play(rig):
    """Crash one worker; return whether ROUTE was broken."""
    wrong = []

    def check_label(worker, task, run):
        if LABEL in worker.labels:
            return
        wrong.append(task)
        rig.record.add(
            f'  VIOLATION of ROUTE: {task} needs label {LABEL}, worker'
            f' {worker.number} has {worker.labels}'
        )

    rig.on_start = check_label
    await submit(rig)
    await asyncio.sleep(1.0)
    worker = rig.workers[0]
    if rig_3.TROUBLE:
        await worker.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await worker.restart(labels=['b', worker.labels[1]])
    await asyncio.sleep(JOB_AFTER_SECONDS)
    await submit(rig)
    await asyncio.sleep(3.0)
    rig.record.add(f'{len(wrong)} starts without the label')
    return bool(wrong)


async def submit(rig):
    """Submit a job whose tasks need the label."""
    step = {
        'count': TASKS,
        'cpu': 6200,
        'mem_mb': 64,
        'required_labels': LABEL,
        'seconds': WORK_SECONDS,
    }
    key, body = rig.make_job([step])
    await rig.post(rig.entries[0].front, key, body, 5.0)


rig_3.main(HERE, play, entries=3, agents=8)
