"""Check which completions give back the grant of their team's limit."""

from types import SimpleNamespace

import pytest

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.router._completion_response import ActiveCompletion
from arbutusbay.router._run_progress import RunProgress

_NOT_RUN = Failure(kind=ErrorKind.OVERLOADED, detail='')
_UNKNOWN = Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail='')


# Guards against a grant that goes back though an engine may have run the
# completion, such as one whose client left within the first attempt.
@pytest.mark.parametrize(
    ('attempts', 'may_have_run', 'failure', 'has_not_run'),
    [
        (0, False, None, True),
        (0, False, _NOT_RUN, True),
        (1, False, _NOT_RUN, True),
        (1, True, _NOT_RUN, False),
        (1, False, _UNKNOWN, False),
        (1, False, None, False),
    ],
)
def test_only_what_certainly_did_not_run_goes_back(
    attempts, may_have_run, failure, has_not_run
):
    progress = RunProgress(attempts=attempts, may_have_run=may_have_run)
    completion = ActiveCompletion(
        run=SimpleNamespace(progress=progress),
        completion_formatter=None,
        failure=failure,
    )
    assert completion.has_not_run() is has_not_run
