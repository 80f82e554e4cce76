"""Measurement of memory and processor time that an agent takes per task.

It measures the ledger, the agent's record of its tasks, alone and then the
whole agent.

``python -m agatepick.bench.bench_ledger`` prints one JSON object.  Memory
is the growth of all Python allocations, so it includes the job keys.
"""

import json
import sys
import time
import tracemalloc

from agatepick.agentside import agent
from agatepick.agentside import ledger
from agatepick.agentside import upstream
from agatepick import core
from agatepick.net import messages
from agatepick import types

TASK_COUNT = 100_000
TASKS_PER_JOB = 130
TASKS_PER_MESSAGE = 4
SLOTS_PER_AGENT = 8
TASK_PAYLOAD = b'{"seconds": 0.1}'
ANSWER_BYTES = 100
OWNER_ID = ledger.EntryId('entry', 1)
START_TIME = 1_800_000_000.0


def main() -> None:
    """Measure the ledger and print the figures."""
    figures = {
        'tasks': TASK_COUNT,
        'tasks_a_job': TASKS_PER_JOB,
        'ledger_us_a_task': round(
            _measure_ledger_seconds() / TASK_COUNT * 1e6, 2
        ),
        'agent_us_a_task': round(
            _measure_agent_seconds() / TASK_COUNT * 1e6, 2
        ),
        'bytes_a_task': round(_measure_bytes(b'') / TASK_COUNT),
        'bytes_a_task_with_answer': round(
            _measure_bytes(b'x' * ANSWER_BYTES) / TASK_COUNT
        ),
        'answer_bytes': ANSWER_BYTES,
    }
    sys.stdout.write(json.dumps(figures) + '\n')


def _make_key(number: int) -> str:
    stamp = f'{int(START_TIME * 1000):012x}'
    return f'{stamp[:8]}-{stamp[8:]}-7000-8000-{number:012x}'


def _make_task(number: int) -> messages.StartTask:
    return messages.StartTask(
        _make_key(number // TASKS_PER_JOB),
        number % TASKS_PER_JOB,
        1,
        'k',
        'team',
        TASK_PAYLOAD,
        types.Needs(1.0, 100, 0),
        START_TIME + 60,
    )


def _record_runs(
    task_ledger: ledger.Ledger, tasks: list[messages.StartTask], answer: bytes
) -> None:
    for task in tasks:
        task_ledger.find_report(task, START_TIME)
        task_ledger.start(task, OWNER_ID, START_TIME)
        # Each answer is a copy, as answers share no memory in a real agent.
        body = bytes(bytearray(answer))
        task_ledger.end(
            task.job, task.index, types.TaskState.FINISHED, START_TIME, body
        )


def _make_ledger() -> ledger.Ledger:
    return ledger.Ledger(660.0, 2.25, max_body_bytes=1 << 30)


def _measure_ledger_seconds() -> float:
    tasks = [_make_task(number) for number in range(TASK_COUNT)]
    task_ledger = _make_ledger()
    started_at = time.process_time()
    _record_runs(task_ledger, tasks, b'')
    return time.process_time() - started_at


def _measure_bytes(answer: bytes) -> int:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    task_ledger = _make_ledger()
    for first in range(0, TASK_COUNT, TASKS_PER_JOB):
        last = min(first + TASKS_PER_JOB, TASK_COUNT)
        _record_runs(
            task_ledger,
            [_make_task(number) for number in range(first, last)],
            answer,
        )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def _measure_agent_seconds() -> float:
    """Return the processor seconds that the agent takes for all tasks.

    Tasks arrive in messages of four; the time includes their starts, their
    ends and the results that the agent sends.
    """
    reducer = agent.Agent.from_config(agent.AgentConfig('agent'), 1)
    needs = types.Needs(64.0, 1 << 16, 0)
    reducer.reduce(
        upstream.Announced('s', ('k',), SLOTS_PER_AGENT, needs, 'x', 1e6),
        START_TIME,
    )
    hello = messages.Hello(OWNER_ID.name, 'entry', 1, '', '', '', 0)
    reducer.reduce(core.PeerUp(hello), START_TIME)
    pong = messages.Pong(START_TIME, START_TIME, START_TIME)
    reducer.reduce(core.Received(OWNER_ID.name, pong), START_TIME)
    tasks = [_make_task(number) for number in range(TASK_COUNT)]
    now = START_TIME
    started_at = time.process_time()
    for first in range(0, TASK_COUNT, TASKS_PER_MESSAGE):
        batch = tuple(tasks[first : first + TASKS_PER_MESSAGE])
        starts = messages.Starts(OWNER_ID.name, 1, 1, 1, now + 3, 0, batch)
        reducer.reduce(core.Received(OWNER_ID.name, starts), now)
        now += 0.001
        for task in batch:
            reducer.reduce(_make_task_ended(task), now)
    return time.process_time() - started_at


def _make_task_ended(task: messages.StartTask) -> upstream.TaskEnded:
    state = types.TaskState.FINISHED
    return upstream.TaskEnded(
        task.job, task.index, task.attempt, state, b'{}', '', 0.1
    )


if __name__ == '__main__':
    main()
