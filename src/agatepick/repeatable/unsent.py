"""Search for the jobs because of which a message can't be encoded.

Load pattern: one job has a value that no message holds.  Its runs share a
message with those of other jobs, which would be lost with it in each round.
"""

from agatepick.net import codec
from agatepick.net import messages
from agatepick import types


def find_causes(
    message: messages.StartRuns,
) -> dict[types.JobKey, Exception]:
    """Return the jobs with a part that can't be encoded, and the exceptions.

    Each run and each payload is encoded on its own.  The result is empty if
    all can be.
    """
    parts = [
        (spec.job, messages.StartRuns(1, 0, (spec,))) for spec in message.runs
    ]
    parts += [
        (payload.job, messages.StartRuns(1, 0, (), payloads=(payload,)))
        for payload in message.payloads
    ]
    causes: dict[types.JobKey, Exception] = {}
    for job, part in parts:
        try:
            codec.encode(part)
        except Exception as exc:
            causes[job] = exc
    return causes
