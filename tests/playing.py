"""A simulation of load patterns on a dispatcher, without a network."""

import dataclasses
import heapq

from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its arrival time and the run times of its tasks.

    :ivar seconds: run time of each task, in the order of the job's tasks.
    """

    at: float
    job: types.JobSpec
    seconds: tuple[float, ...]


@dataclasses.dataclass(slots=True)
class Results:
    """Results of a simulation.

    :ivar ended: time at which all tasks of a job had ended, by key.
    :ivar refused: refusals of jobs, by key.
    :ivar expired: keys of jobs with tasks that expired in the queue.
    :ivar failed: times of failed tasks, by agent.
    :ivar starts: times of task starts, by agent.
    :ivar busy: run time of all tasks, in seconds.
    """

    ended: dict = dataclasses.field(default_factory=dict)
    refused: dict = dataclasses.field(default_factory=dict)
    expired: set = dataclasses.field(default_factory=set)
    failed: dict = dataclasses.field(default_factory=dict)
    starts: dict = dataclasses.field(default_factory=dict)
    busy: float = 0.0


def play(dispatcher, arrivals, works=None, pace=None):
    """Simulate arrivals in virtual time and return the results.

    ``works(agent, now)`` returns whether a task succeeds on an agent; other
    tasks fail after a millisecond.  ``pace(agent)`` is a factor on run times.
    """
    results = Results()
    events = [(arrival.at, i, arrival) for i, arrival in enumerate(arrivals)]
    heapq.heapify(events)
    number = len(events)
    seconds = {arrival.job.key: arrival.seconds for arrival in arrivals}
    open_tasks = {
        arrival.job.key: len(arrival.job.tasks) for arrival in arrivals
    }
    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, Arrival):
            refusal = dispatcher.admit(event.job, lambda zone: True, now)
            if refusal is not None:
                results.refused[event.job.key] = refusal
            else:
                dispatcher.enqueue(event.job, now)
        elif event is not None:
            agent, task, ok, run_seconds = event
            key = task.job.key
            dispatcher.record_outcome(
                agent, task.job, task.index, ok, run_seconds, now
            )
            open_tasks[key] -= 1
            if not ok:
                results.failed.setdefault(agent, []).append(now)
            if not open_tasks[key]:
                results.ended[key] = now
        results.expired.update(task.job.key for task in dispatcher.expire(now))
        for placement in dispatcher.place(lambda zone: 1.0, now):
            for task in placement.tasks:
                run_seconds = seconds[task.job.key][task.index]
                run_seconds *= pace(placement.agent) if pace else 1.0
                ok = works(placement.agent, now) if works else True
                run_seconds = run_seconds if ok else 0.001
                results.busy += run_seconds
                results.starts.setdefault(placement.agent, []).append(now)
                number += 1
                event = (placement.agent, task, ok, run_seconds)
                heapq.heappush(events, (now + run_seconds, number, event))
        wake = dispatcher.next_wake(now)
        if wake is not None and dispatcher.count_waiting() and not events:
            number += 1
            heapq.heappush(events, (max(wake, now + 0.001), number, None))
    return results
