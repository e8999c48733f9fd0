"""Determine the age of cached store data, also when a peer relayed it."""


def relayed_data_time_s(
    sent_s: float, relay_held_s: float, age_s: float
) -> float:
    """Return the time as of which relayed data is current.

    The result is on the caller's clock. The call was sent at ``sent_s``,
    the relay answered at least ``relay_held_s`` seconds later, and its data was
    then ``age_s`` seconds old.
    """
    return sent_s + relay_held_s - age_s


def is_fresh_enough(age_s: float, limit_s: float) -> bool:
    """Return whether data ``age_s`` seconds old is still fresh enough."""
    return age_s < limit_s
