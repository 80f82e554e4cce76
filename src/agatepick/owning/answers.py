"""Answers to callers, and their encoding between entries."""

import msgspec

from agatepick.api import calls
from agatepick import core
from agatepick.decisions import dispatch
from agatepick.net import messages
from agatepick.owning import jobs
from agatepick.owning import ownership
from agatepick import types

CODE_KEY_REUSED = 'key_reused'
CODE_UNKNOWN_JOB = 'unknown_job'
CODE_NO_LEASE = 'no_lease'
CODE_TAKEN_OVER = 'taken_over'
TAKEOVER_RETRY_SECONDS = 0.5


def encode(answer: types.JobAnswer) -> bytes:
    """Encode an answer for :class:`agatepick.net.messages.Forwarded`."""
    return msgspec.msgpack.encode(answer)


def decode(data: bytes) -> types.JobAnswer:
    """Decode an answer from ``data``.

    :raises msgspec.DecodeError: if ``data`` is not an encoded answer.
    """
    return msgspec.msgpack.decode(data, type=types.JobAnswer)


def deliver(
    waiters: tuple[jobs.Waiter, ...], answer: types.JobAnswer
) -> list[object]:
    """Return the effects that send an answer to each of its waiters."""
    effects: list[object] = []
    for waiter in waiters:
        if isinstance(waiter, jobs.LocalWaiter):
            effects.append(calls.Reply(waiter.call, answer))
            continue
        reply = messages.Forwarded(waiter.request, encode(answer))
        effects.append(core.Send(waiter.peer, reply))
    return effects


def build_refused(
    key: types.JobKey, refusal: dispatch.Refusal, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer "not run" for a job that was not admitted."""
    return types.JobAnswer(
        key,
        types.JobStatus.NOT_RUN,
        code=refusal.code,
        reason=refusal.reason,
        step='admit',
        peer=peer,
        retry_after=refusal.retry_after,
    )


def build_bad_key(
    key: types.JobKey, fault: ownership.KeyFault, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer for a key that is refused permanently.

    The job of an expired key may have run before, so its status is "failed"
    instead of "not run".
    """
    status = types.JobStatus.NOT_RUN
    if fault == ownership.KeyFault.EXPIRED:
        status = types.JobStatus.FAILED
    return types.JobAnswer(
        key,
        status,
        code=f'key_{fault}',
        reason=_KEY_FAULTS[fault],
        step='admit',
        peer=peer,
    )


def build_key_reused(
    key: types.JobKey, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer for a request whose key belongs to another body."""
    return types.JobAnswer(
        key,
        types.JobStatus.NOT_RUN,
        code=CODE_KEY_REUSED,
        reason='this Idempotency-Key belongs to another request body',
        step='admit',
        peer=peer,
    )


def build_unknown_job(
    key: types.JobKey, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer for a key under which no job is stored."""
    return types.JobAnswer(
        key,
        types.JobStatus.PENDING,
        code=CODE_UNKNOWN_JOB,
        reason='no job is remembered under this key',
        step='ask',
        peer=peer,
    )


def build_takeover_pending(
    key: types.JobKey, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer "pending" for a job whose takeover isn't complete.

    The job's entry was removed, and agents still report its tasks.
    """
    return types.JobAnswer(
        key,
        types.JobStatus.PENDING,
        code=CODE_TAKEN_OVER,
        reason="the job's entry was lost; its tasks are being collected",
        step='takeover',
        peer=peer,
        retry_after=TAKEOVER_RETRY_SECONDS,
    )


def build_submit_again(
    key: types.JobKey, peer: types.PeerName
) -> types.JobAnswer:
    """Return the answer to a status request that asks for a resubmission.

    The job's entry was removed, so the job is known only from agents' reports.
    """
    return types.JobAnswer(
        key,
        types.JobStatus.PENDING,
        code=CODE_TAKEN_OVER,
        reason=(
            "the job's entry was lost; submit the job again under its key "
            'to get its answer'
        ),
        step='takeover',
        peer=peer,
    )


_KEY_FAULTS = {
    ownership.KeyFault.MALFORMED: 'the key is not a canonical UUIDv7',
    ownership.KeyFault.EXPIRED: (
        'the key is older than the retention window; '
        'what became of it is no longer known'
    ),
    ownership.KeyFault.AHEAD: "the key's time stamp is ahead of our clock",
}
