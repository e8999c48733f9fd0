"""Check what odd numbers and texts in headers and events become."""

from types import SimpleNamespace

import pytest

from arbutusbay.checked_values import MAX_INTEGER
from arbutusbay.node._placement import request_size_of
from arbutusbay.platform import (
    ServerSentEventParser,
    parse_request_head,
    parse_response_head,
)

_HUGE = ('1e300', '9' * 300, '9' * 5000, 'inf', 'nan', '-1')
_MAX_REPORTED_TOKENS = 2_000_000_000_000
_REQUESTS_AT_WORK = 10_000


# Guards against token counts that this VM's reports to others cannot hold.
@pytest.mark.parametrize('text', _HUGE)
def test_sums_of_tokens_fit_a_report(text):
    head = parse_request_head(
        {
            'Token-Counts': f'{text},{text}',
            'Prompt-Prefix': f'aa:{text},bb:7',
            'Last-Event-Id': text,
        }
    )
    tokens = head.prompt_tokens + head.max_output_tokens
    assert 0 <= tokens * _REQUESTS_AT_WORK <= _MAX_REPORTED_TOKENS
    assert 0 <= head.last_event_id <= MAX_INTEGER


# Guards against reports of negative totals, which the others refuse, for a
# request whose shared segments are longer than its prompt.
def test_shared_prefix_is_no_longer_than_the_prompt():
    head = parse_request_head(
        {'Token-Counts': '10,1', 'Prompt-Prefix': 'aa:4000,bb:1'}
    )
    size = request_size_of(SimpleNamespace(parsed_headers=head))
    assert size.shared_prefix_tokens == size.prompt_tokens
    assert size.kv_tokens >= 0


# Guards against names that neither a hash nor a report can hold.
def test_names_that_are_no_text_are_ignored():
    head = parse_request_head(
        {
            'Model': 'm\udcff',
            'Prompt-Prefix': '\udcff:3,aa:4',
            'Attempt-Id': 'x',
        }
    )
    assert not head.model
    assert [segment.id for segment in head.prompt_segments] == ['aa']


@pytest.mark.parametrize('text', _HUGE)
def test_odd_numbers_of_an_engine_are_ignored(text):
    head = parse_response_head(
        {
            'Weight-Versions': text,
            'Server-Load': f'{text},1,1',
            'Retry-After': text,
        }
    )
    assert head.weights_version is None
    assert head.load is None
    assert head.retry_after_s is None


@pytest.mark.parametrize('digits', ['9' * 16, '9' * 5000, '-1', '1.5', 'x'])
def test_odd_event_id_is_none(digits):
    raw = f'id: {digits}\nweight-versions: {digits}\ndata: x\n\n'.encode()
    event = next(ServerSentEventParser().parse_chunk(raw))
    assert (event.event_id, event.weights_version) == (None, None)
    assert event.raw_bytes == raw
