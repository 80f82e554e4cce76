import random

from agatepick import dispatch
from agatepick import jobs
from agatepick import owner
from agatepick import ownership
from agatepick import types
from tests import agents


def test_a_key_ahead_of_the_clock_is_remembered_until_it_expires():
    """A caller's clock is ahead, and a copy of its request comes very late.

    The key is valid for the window and two seconds more.  Forgotten in
    between, its job would be let in after its caller was told "not run".
    """
    settings = dispatch.DispatchSettings()
    made = dispatch.Dispatch.from_config(settings, random.Random(1))
    found = owner.Owner('e', 1, owner.OwnerConfig(), None, made)
    key = agents.key(at=agents.NOW + 2)
    spec = types.JobSpec(key, 'team', (types.TaskSpec('t', 'k'),), 0.0)
    waiter = jobs.LocalWaiter(1)
    found.refuse(
        spec, dispatch.Refusal('busy', 'full', 0.0), waiter, agents.NOW
    )
    late = agents.NOW + 601
    found.on_tick(late)
    assert ownership.check(key, late) is None
    assert found.known(spec, waiter) is not None
