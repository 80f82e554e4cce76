"""Starts that entries request from an agent, and why some are refused."""

import typing

from agatepick import core
from agatepick.net import messages
from agatepick.repeatable import crash_evidence
from agatepick.repeatable import faults
from agatepick.repeatable import publishing
from agatepick.repeatable import reports
from agatepick.repeatable import run_controller
from agatepick.repeatable import runs
from agatepick.repeatable import sharing


class RequestedStarts:
    """Starts at one agent's worker.

    :param is_open: returns whether runs may be started at the worker.
    :ivar leases_enforced: whether runs whose lease is over were stopped before
        the present event; nothing starts otherwise.
    """

    def __init__(
        self,
        capacity: sharing.SharedCapacity,
        publisher: publishing.Publisher,
        controller: run_controller.RunController,
        crashes: crash_evidence.CrashEvidence,
        is_open: typing.Callable[[float], bool],
    ) -> None:
        self.leases_enforced = True
        self._capacity = capacity
        self._publisher = publisher
        self._controller = controller
        self._crashes = crashes
        self._is_open = is_open

    def handle(
        self, owner: runs.Owner, message: messages.StartRuns, now: float
    ) -> list[object]:
        """Start the runs of a message, or report why they aren't."""
        owner.last_start_number = message.number
        if message.grant:
            self._capacity.end_grant(owner.name, message.grant)
            self._publisher.clear_capacity(owner.name)
        self._capacity.record_want(owner.name, message.want, now)
        new_payloads = {
            payload.job: payload.data for payload in message.payloads
        }
        for job, data in new_payloads.items():
            owner.payload_cache.add(job, data)
        effects: list[object] = []
        for spec in message.runs:
            payload = new_payloads.get(
                spec.job, owner.payload_cache.get(spec.job)
            )
            try:
                effects += self._start(owner, spec, payload, message.born, now)
            except Exception as exc:
                ref = messages.RunRef(spec.job, spec.index, spec.run)
                effects.append(faults.note('start', exc, job=spec.job))
                effects += self._controller.refuse(owner, ref, faults.REASON)
        return effects

    def _start(
        self,
        owner: runs.Owner,
        spec: messages.RunSpec,
        payload: bytes | None,
        born: int,
        now: float,
    ) -> list[object]:
        ref = messages.RunRef(spec.job, spec.index, spec.run)
        self._publisher.subtract_start(owner.name, spec.needs)
        if payload is None:
            return self._controller.refuse(owner, ref, reports.NO_PAYLOAD)
        crashes = self._crashes.count(spec.name, now)
        if crashes > spec.crashes:
            return self._controller.refuse(
                owner, ref, reports.CRASHED_BEFORE, crashes
            )
        reason = self._find_refusal(owner, spec, born, now)
        if reason:
            return self._controller.refuse(owner, ref, reason)
        try:
            effects = self._controller.start(owner, spec, payload, now)
            return [*effects, self._note_start(owner, spec)]
        except Exception as exc:
            if spec.name in self._controller.runs:
                # It is known as a run, so its start is sent again.
                return [faults.note('start', exc, job=spec.job)]
            self._capacity.release(spec.needs)
            raise

    def _note_start(
        self, owner: runs.Owner, spec: messages.RunSpec
    ) -> core.Note:
        worker = self._controller.worker
        return core.note(
            'run_started',
            job=spec.job,
            index=spec.index,
            run=spec.run,
            peer=owner.name,
            life=worker.incarnation if worker is not None else '',
        )

    def _find_refusal(
        self, owner: runs.Owner, spec: messages.RunSpec, born: int, now: float
    ) -> str:
        if not self._is_open(now):
            return 'closed'
        worker = self._controller.worker
        if born and worker is not None and born != worker.born:
            # The entry chose the worker by what its former incarnation was.
            return 'reborn'
        if owner.lease_until <= now:
            # The start message arrived after the entry's lease had expired:
            # the entry may have queued the task again.
            return 'lease'
        if not self.leases_enforced:
            return faults.REASON
        if spec.name in self._controller.runs:
            return 'busy'
        if spec.apart and any(
            run.apart for run in self._controller.runs.values()
        ):
            return reports.SUSPECT_THERE
        if not self._capacity.acquire(spec.needs):
            return 'room'
        return ''
