"""Build the failure of requests that are kept from the engines."""

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.quarantine._quarantine import WithheldSegment

_MIN_RETRY_AFTER_S = 1.0


def build_refusal(withheld: WithheldSegment) -> Failure:
    """Return the failure of a request that was not sent."""
    return Failure(
        kind=ErrorKind.PROMPT_QUARANTINED,
        detail=f'engines crashed under segment {withheld.key.segment} '
        'of the prompt',
        retry_after_s=max(_MIN_RETRY_AFTER_S, withheld.retry_after_s),
    )
