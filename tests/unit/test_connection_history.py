"""Check what proves that a refusal belongs to the present attempt."""

import pytest

from arbutusbay.node._connection_history import ConnectionHistory

_MANY = 1000


def carry(history: ConnectionHistory) -> ConnectionHistory:
    """Let a connection carry one more request."""
    history.request_count += 1
    return history


def refuse(history: ConnectionHistory, attempt_id: str) -> None:
    """Let a connection carry a request that is refused."""
    carry(history).record_refusal(attempt_id)


# Guards against true refusals that are lost: a connection without an earlier
# request can carry no earlier refusal.
@pytest.mark.parametrize(
    ('responded_id', 'is_proved'), [('', True), ('a', True), ('b', False)]
)
def test_first_refusal_of_a_connection(responded_id, is_proved):
    history = carry(ConnectionHistory())
    assert history.proves_refusal('a', responded_id) is is_proved


# Guards against a refusal of another attempt that is believed on a connection
# in use again.
@pytest.mark.parametrize(
    ('responded_id', 'is_proved'), [('', False), ('b', True), ('a', False)]
)
def test_refusal_on_a_connection_in_use_again(responded_id, is_proved):
    history = carry(ConnectionHistory())
    carry(history)
    assert history.proves_refusal('b', responded_id) is is_proved


# Guards against the same where the first response was a refusal as well, also
# one of the same attempt.
def test_refusal_after_a_refusal():
    history = ConnectionHistory()
    refuse(history, 'a')
    refuse(history, 'b')
    carry(history)
    assert not history.proves_refusal('a', 'a')
    assert not history.proves_refusal('a', '')
    carry(history)
    assert history.proves_refusal('c', 'c')


# Guards against requests without an id, which nothing identifies.
def test_request_without_an_id_is_identified_by_its_connection_only():
    history = carry(ConnectionHistory())
    assert history.proves_refusal('', '')
    carry(history)
    assert not history.proves_refusal('', '')


# Guards against a connection that keeps the ids of all refusals of a day.
def test_number_of_recorded_refusals_is_limited():
    history = ConnectionHistory()
    recorded = 0
    while not history.is_full:
        refuse(history, f'a{recorded}')
        recorded += 1
        assert recorded < _MANY
