"""Cost of an agent's ledger: memory per remembered task, time per task.

Run by ``python -m agatepick.bench.bench_ledger``; prints one JSON object.
Memory is the growth of what Python has allocated, so it counts keys and all.
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

TASKS = 100_000
TASKS_A_JOB = 130
TASKS_A_MESSAGE = 4
SLOTS = 8
BODY = b'{"seconds": 0.1}'
ANSWER_BYTES = 100
OWNER = ledger.Owner('entry', 1)
START = 1_800_000_000.0


def main() -> None:
    """Measure, and print."""
    found = {
        'tasks': TASKS,
        'tasks_a_job': TASKS_A_JOB,
        'ledger_us_a_task': round(_ledger_seconds() / TASKS * 1e6, 2),
        'agent_us_a_task': round(_agent_seconds() / TASKS * 1e6, 2),
        'bytes_a_task': round(_bytes(b'') / TASKS),
        'bytes_a_task_with_answer': round(_bytes(b'x' * ANSWER_BYTES) / TASKS),
        'answer_bytes': ANSWER_BYTES,
    }
    sys.stdout.write(json.dumps(found) + '\n')


def _key(number: int) -> str:
    stamp = f'{int(START * 1000):012x}'
    return f'{stamp[:8]}-{stamp[8:]}-7000-8000-{number:012x}'


def _task(number: int) -> messages.StartTask:
    return messages.StartTask(
        _key(number // TASKS_A_JOB),
        number % TASKS_A_JOB,
        1,
        'k',
        'team',
        BODY,
        types.Needs(1.0, 100, 0),
        START + 60,
    )


def _run(
    book: ledger.Ledger, tasks: list[messages.StartTask], answer: bytes
) -> None:
    for task in tasks:
        book.find_report(task, START)
        book.start(task, OWNER, START)
        # A copy each: no two answers share their bytes in a real agent.
        body = bytes(bytearray(answer))
        book.end(task.job, task.index, types.TaskState.FINISHED, START, body)


def _book() -> ledger.Ledger:
    return ledger.Ledger(660.0, 2.25, max_body_bytes=1 << 30)


def _ledger_seconds() -> float:
    tasks = [_task(number) for number in range(TASKS)]
    book = _book()
    began = time.process_time()
    _run(book, tasks, b'')
    return time.process_time() - began


def _bytes(answer: bytes) -> int:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    book = _book()
    for first in range(0, TASKS, TASKS_A_JOB):
        last = min(first + TASKS_A_JOB, TASKS)
        _run(book, [_task(number) for number in range(first, last)], answer)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def _agent_seconds() -> float:
    """The whole reducer: starts of four tasks, their ends, their results."""
    node = agent.Agent.from_config(agent.AgentConfig('agent'), 1)
    needs = types.Needs(64.0, 1 << 16, 0)
    node.reduce(upstream.Announced('s', ('k',), SLOTS, needs, 'x', 1e6), START)
    hello = messages.Hello(OWNER.name, 'entry', 1, '', '', '', 0)
    node.reduce(core.PeerUp(hello), START)
    pong = messages.Pong(START, START, START)
    node.reduce(core.Received(OWNER.name, pong), START)
    tasks = [_task(number) for number in range(TASKS)]
    now = START
    began = time.process_time()
    for first in range(0, TASKS, TASKS_A_MESSAGE):
        batch = tuple(tasks[first : first + TASKS_A_MESSAGE])
        starts = messages.Starts(OWNER.name, 1, 1, 1, now + 3, 0, batch)
        node.reduce(core.Received(OWNER.name, starts), now)
        now += 0.001
        for task in batch:
            node.reduce(_ended(task), now)
    return time.process_time() - began


def _ended(task: messages.StartTask) -> upstream.TaskEnded:
    state = types.TaskState.FINISHED
    return upstream.TaskEnded(
        task.job, task.index, task.attempt, state, b'{}', '', 0.1
    )


if __name__ == '__main__':
    main()
