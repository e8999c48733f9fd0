"""Decide how old what a VM holds may be, also when others passed it on."""


def relayed_as_of_s(sent_s: float, held_s: float, age_s: float) -> float:
    """Return as of when a relayed answer holds, on the asker's clock.

    The relay answered no sooner than ``held_s`` after the call was sent at
    ``sent_s``, and what it told was then ``age_s`` old.
    """
    return sent_s + held_s - age_s


def is_within(age_s: float, limit_s: float) -> bool:
    """Tell whether something ``age_s`` old may still be relied on."""
    return age_s < limit_s
