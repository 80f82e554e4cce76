"""Use of agatepick as a library, without its entry and agent programs.

The program accepts jobs over HTTP with the library's handlers and runs their
tasks in its own reducer, which the library's shell feeds with events.  It has
no entry, no agent and no table service.  Run it with
``python examples/embed.py``.
"""

import asyncio
import json

from tornado import netutil

import agatepick


class Adder:
    """A reducer that adds the numbers in each task's payload."""

    def reduce(self, event: object, now: float) -> list[object]:
        """Answer a submitted job; ignore other events."""
        if not isinstance(event, agatepick.JobSubmitted):
            return []
        tasks = tuple(self._run(task) for task in event.job.tasks)
        answer = agatepick.JobAnswer(
            event.job.key, agatepick.JobStatus.COMPLETE, tasks
        )
        return [
            agatepick.note('job.ended', job=event.job.key, tasks=len(tasks)),
            agatepick.Reply(event.call, answer),
        ]

    def _run(self, task: agatepick.TaskSpec) -> agatepick.TaskAnswer:
        total = sum(json.loads(task.payload))
        body = json.dumps(total).encode()
        return agatepick.TaskAnswer(task.id, agatepick.Outcome.FINISHED, body)


async def main() -> list[int]:
    """Serve HTTP, submit one job and return the results of its tasks."""
    clock = agatepick.ProcessClock.start()
    shell = agatepick.Shell(Adder(), clock)
    calls = agatepick.Calls(shell.feed)
    timeline = agatepick.Timeline('embed', 100, clock)
    shell.handle(agatepick.Reply, calls.reply)
    shell.handle(agatepick.Note, timeline.add)
    front = agatepick.Front(
        name='embed',
        calls=calls,
        clock=clock,
        limits=agatepick.Http(listen='127.0.0.1:0'),
        tokens=agatepick.Tokens(operator='unused-in-this-one'),
        timeline=timeline,
    )
    server = agatepick.server(front, agatepick.caller_routes(front))
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    client = agatepick.Client([f'http://127.0.0.1:{port}'])
    tasks = (
        agatepick.Task('small', 'add', [1, 2]),
        agatepick.Task('large', 'add', [10, 20, 30]),
    )
    try:
        job_result = await client.submit(agatepick.Job(tasks, team='embed'))
    finally:
        client.close()
        server.stop()
    for event in timeline.events():
        print(event.show())
    return [task.body for task in job_result.tasks]


if __name__ == '__main__':
    print(asyncio.run(main()))
