"""Plays load patterns against a dispatch, without a network."""

import dataclasses
import heapq

from agatepick import types


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job with the run times that its tasks turn out to have."""

    at: float
    job: types.JobSpec
    seconds: tuple[float, ...]


@dataclasses.dataclass(slots=True)
class Played:
    """What the callers got: ends of answered jobs and refusals, by key."""

    ended: dict = dataclasses.field(default_factory=dict)
    refused: dict = dataclasses.field(default_factory=dict)
    expired: set = dataclasses.field(default_factory=set)
    failed: dict = dataclasses.field(default_factory=dict)
    starts: dict = dataclasses.field(default_factory=dict)
    busy: float = 0.0


def play(made, arrivals, works=None, pace=None):
    """Play arrivals in virtual time; what the callers got.

    ``works(agent, now)`` says whether a task succeeds there, or fails after a
    millisecond; ``pace(agent)`` stretches run times.
    """
    got = Played()
    events = [(one.at, i, one) for i, one in enumerate(arrivals)]
    heapq.heapify(events)
    number = len(events)
    seconds = {one.job.key: one.seconds for one in arrivals}
    left = {one.job.key: len(one.job.tasks) for one in arrivals}
    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, Arrival):
            refusal = made.admit(event.job, lambda zone: True, now)
            if refusal is not None:
                got.refused[event.job.key] = refusal
            else:
                made.enqueue(event.job, now)
        elif event is not None:
            agent, task, ok, took = event
            key = task.job.key
            made.ended(agent, task.job, task.index, ok, took, now)
            left[key] -= 1
            if not ok:
                got.failed.setdefault(agent, []).append(now)
            if not left[key]:
                got.ended[key] = now
        got.expired.update(task.job.key for task in made.expire(now))
        for placed in made.place(lambda zone: 1.0, now):
            for task in placed.tasks:
                took = seconds[task.job.key][task.index]
                took *= pace(placed.agent) if pace else 1.0
                ok = works(placed.agent, now) if works else True
                took = took if ok else 0.001
                got.busy += took
                got.starts.setdefault(placed.agent, []).append(now)
                number += 1
                event = (placed.agent, task, ok, took)
                heapq.heappush(events, (now + took, number, event))
        wake = made.next_wake(now)
        if wake is not None and made.waiting() and not events:
            number += 1
            heapq.heappush(events, (max(wake, now + 0.001), number, None))
    return got
