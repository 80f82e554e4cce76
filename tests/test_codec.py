import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from agatepick import exceptions
from agatepick.net import codec
from agatepick.net import messages
from agatepick import types


def test_messages_survive_encoding_and_decoding():
    task = messages.StartTask(
        'j', 1, 2, 'k', 't', b'{}', types.Needs(1.5, 10, 1), 9.5
    )
    starts = messages.Starts('e', 2**64 - 1, 3, 4, 5.5, 6, (task, task))
    spec = types.JobSpec(
        'key', 'team', (types.TaskSpec('a', 'k'),), 3.0, True, ('z',), b'd'
    )
    forward = messages.Forward(1, 'submit', 'key', 'team', (spec,))
    for message in (starts, forward, messages.Goodbye('x')):
        data = codec.encode(message, 2**60)
        assert codec.decode_stamped(data) == codec.Stamped(message, 2**60)


@pytest.mark.parametrize('data', [b'', b'x', b'\0' * 8, b'\xff' * 64])
def test_malformed_messages_are_refused(data):
    with pytest.raises(exceptions.BadMessage):
        codec.decode(data)


REPORT = messages.TaskReport('j', 1, 1, 'finished', b'{}', 'r', 0.1)
SAMPLES = [
    messages.Results(1, 2, (REPORT,) * 4),
    messages.Orphans('e', 1, (REPORT,), True),
    messages.Members(1, (messages.Member('e', 1, 'a', 'z', 0.0),) * 3),
    messages.Changes(1, (b'a', b'b')),
    messages.Settle(1, (messages.TaskRef('j', 1, 2),)),
    messages.Offer(1, 2, 3, ('k', 'l'), types.Needs(), False),
]


@pytest.mark.parametrize('sample', SAMPLES)
def test_large_messages_stay_within_the_reader_s_limit(sample):
    """The thousand tasks of a lost owner are reported in one message.

    The limit that guards against hostile messages must not refuse it.
    """
    lists = [
        name
        for name in sample.__dataclass_fields__
        if isinstance(getattr(sample, name), tuple)
    ]
    many = {name: getattr(sample, name) * 2000 for name in lists}
    large = dataclasses.replace(sample, **many)
    assert codec.decode(codec.encode(large)) == large


# An ``Orphans`` with one report, modified to declare a list of empty items.
DECLARES_A_MILLION_ITEMS = bytes.fromhex(
    '000000001a000000000000000200010009000000000000000000000000000000'
    '0000000002000200010000000000000001000000000000000500000012000000'
    '050000003f000000650000000000010000004000000000000400000002000500'
    '01000000010000009a9999999999b93f110000002a0100002100000000000000'
    '000000004a000000250000000a00000025000000120000002500000002000000'
    '30316133313835632d353030302d373030302d3830303000000000000000002d'
    '3030303030303030303030300000000066696e69736865640000000000000000'
    '78000000000000007200000000000000'
)


def test_a_message_that_declares_a_million_items_is_refused():
    """A peer sends 240 bytes that declare a list of a million items.

    Reading such a message blocked its receiver for seconds, in which the
    leases and tasks of the receiver would have expired.
    """
    with pytest.raises(exceptions.BadMessage):
        codec.decode(DECLARES_A_MILLION_ITEMS)


def make_damaged(seed):
    """Return an encoded message with changed bytes, possibly cut short."""
    rng = random.Random(seed)
    data = bytearray(codec.encode(rng.choice(SAMPLES)))
    for _ in range(rng.choice([1, 2, 5])):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.choice([len(data), rng.randrange(len(data))])])


def count_values(value):
    """Return the number of values in a message, including its lists."""
    if isinstance(value, tuple):
        return len(value) + sum(map(count_values, value))
    if dataclasses.is_dataclass(value):
        names = value.__dataclass_fields__
        return sum(count_values(getattr(value, name)) for name in names)
    return 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(st.integers(0, 2**32 - 1))
def test_damaged_messages_are_refused_or_decode_to_a_bounded_size(seed):
    """A peer of another version, or a broken one, sends any bytes."""
    for number in range(100):
        data = make_damaged(seed + number)
        try:
            message = codec.decode(data)
        except exceptions.BadMessage:
            continue
        assert count_values(message) < 10 * len(data) + 1000
