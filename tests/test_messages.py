import pytest

from agatepick import exceptions
from agatepick import messages
from agatepick import types


def test_every_kind_of_message_survives_the_codec():
    task = messages.StartTask(
        'j', 1, 2, 'k', 't', b'{}', types.Needs(1.5, 10, 1), 9.5
    )
    starts = messages.Starts('e', 2**64 - 1, 3, 4, 5.5, 6, (task, task))
    spec = types.JobSpec(
        'key', 'team', (types.TaskSpec('a', 'k'),), 3.0, True, ('z',), b'd'
    )
    forward = messages.Forward(1, 'submit', 'key', 'team', (spec,))
    for message in (starts, forward, messages.Goodbye('x')):
        data = messages.encode(message, 2**60)
        assert messages.decode_stamped(data) == messages.Stamped(
            message, 2**60
        )


@pytest.mark.parametrize('data', [b'', b'x', b'\0' * 8, b'\xff' * 64])
def test_bytes_that_are_no_message_are_refused(data):
    with pytest.raises(exceptions.BadMessage):
        messages.decode(data)
