"""Playback of one load on a running installation.

A load has jobs, which callers submit, and steps: planned operations such as
taking a zone out of service.
"""

import asyncio
import collections.abc
import dataclasses

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_callers
from agatepick.bench import bench_cluster
from agatepick.bench import bench_evidence
from agatepick.bench import bench_plan
from agatepick.bench import bench_upstream
from agatepick.config import cluster

MAX_DRAIN_SECONDS = 45.0
"""Time after the last arrivals during which the bench waits for answers."""


class Player:
    """Player of one load on a running installation.

    :ivar departures: zones taken out of service, by name.
    :ivar step_errors: exceptions that steps raised, as text.
    """

    def __init__(
        self,
        load: bench_arrivals.Load,
        installation: bench_cluster.Cluster,
        callers: bench_callers.Callers,
        recorder: bench_upstream.StartRecorder,
    ):
        self.departures: dict[str, bench_evidence.ZoneDeparture] = {}
        self.step_errors: list[str] = []
        self._load = load
        self._installation = installation
        self._callers = callers
        self._recorder = recorder
        self._step_handlers: dict[
            bench_plan.Action,
            collections.abc.Callable[
                [str], collections.abc.Coroutine[object, object, None]
            ],
        ] = {
            bench_plan.Action.ZONE_OUT: self._take_zone_out,
            bench_plan.Action.ZONE_IN: self._return_zone,
            bench_plan.Action.STORE_DOWN: self._start_table_outage,
            bench_plan.Action.STORE_UP: self._end_table_outage,
            bench_plan.Action.KILL_ENTRY: self._kill_entry,
            bench_plan.Action.REPLACE_ENTRY: self._replace_entry,
            bench_plan.Action.REPLACE_AGENT: self._replace_agent,
            bench_plan.Action.CANCEL_HALF: self._cancel_half_of_jobs,
        }

    async def play(self) -> None:
        """Play all jobs and steps; wait for the answers.

        :data:`MAX_DRAIN_SECONDS` after the arrivals the bench stops the
        callers that still wait for an answer.
        """
        tasks = [
            asyncio.create_task(self._play_job(job)) for job in self._load.jobs
        ]
        step_task = asyncio.create_task(self._play_steps())
        remaining = (
            self._load.seconds + MAX_DRAIN_SECONDS - self._recorder.now()
        )
        _, unfinished = await asyncio.wait(
            [*tasks, step_task], timeout=remaining
        )
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*tasks, step_task, return_exceptions=True)

    def list_unanswered(self) -> list[bench_evidence.Reply]:
        """Return a reply without an answer for each job still unanswered."""
        now = self._recorder.now()
        return [
            bench_evidence.Reply(number, key, 0.0, now, None, error='silent')
            for number, key in self._callers.open.items()
        ]

    async def _play_job(self, job: bench_arrivals.JobPlan) -> None:
        await asyncio.sleep(job.at - self._recorder.now())
        await self._callers.submit(job)

    async def _play_steps(self) -> None:
        for step in self._load.steps:
            await asyncio.sleep(step.at - self._recorder.now())
            try:
                await self._step_handlers[step.action](step.target)
            except Exception as exc:
                self.step_errors.append(f'{step.action}: {exc!r}')

    async def _take_zone_out(self, zone: str) -> None:
        requested_at = self._recorder.now()
        verdict = await self._installation.change(cluster.ZoneOut(zone))
        accepted_at = self._recorder.now()
        in_force_at = self._recorder.to_run_seconds(verdict.in_force_at)
        self.departures[zone] = bench_evidence.ZoneDeparture(
            zone, requested_at, accepted_at, in_force_at, float('inf')
        )

    async def _return_zone(self, zone: str) -> None:
        verdict = await self._installation.change(cluster.ZoneIn(zone))
        returned_at = self._recorder.to_run_seconds(verdict.in_force_at)
        self.departures[zone] = dataclasses.replace(
            self.departures[zone], returned_at=returned_at
        )

    async def _start_table_outage(self, target: str) -> None:
        self._installation.set_store_down(True)

    async def _end_table_outage(self, target: str) -> None:
        self._installation.set_store_down(False)

    async def _kill_entry(self, target: str) -> None:
        await self._installation.kill_entry(int(target))

    async def _replace_entry(self, target: str) -> None:
        await self._installation.replace_entry(int(target))

    async def _replace_agent(self, target: str) -> None:
        await self._installation.replace_agent(int(target))

    async def _cancel_half_of_jobs(self, target: str) -> None:
        numbers = sorted(self._callers.open)[::2]
        await asyncio.gather(
            *(self._callers.cancel(number) for number in numbers)
        )
