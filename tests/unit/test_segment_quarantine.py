"""Test how verdicts about prompt segments are made, merged and lifted."""

import attrs
import orjson

from arbutusbay.node._quarantine_messages import (
    quarantine_from_fields,
    quarantine_to_fields,
)
from arbutusbay.quarantine import (
    EngineEnd,
    QuarantineReport,
    SegmentQuarantine,
    Suspect,
    Verdict,
    WithheldRequest,
    segment_key,
)
from arbutusbay.quarantine_exchange import build_exchange, read_exchange
from arbutusbay.wire import QuarantineExchange, decode_message, encode_message

_MODEL = 'model'
_KEY = segment_key(_MODEL, 'bad')
_COMMON_KEY = segment_key(_MODEL, 'common')
_FIRST_PROBE_S = 30.0
_MAX_REPORT_BYTES = 16_000


def build_quarantine(now_s=100.0) -> SegmentQuarantine:
    """Return a quarantine whose verdict about ``_KEY`` was just made."""
    quarantine = SegmentQuarantine()
    for number in range(3):
        record_end(quarantine, f'e{number}', now_s - 2 + number / 2)
    quarantine.evaluate(now_s - 0.6, {})
    quarantine.evaluate(now_s, {})
    assert _KEY in quarantine.table.quarantined
    return quarantine


def record_end(quarantine, incarnation, ended_s, *keys) -> None:
    """Record the end of an engine as a response to ``keys`` started."""
    quarantine.record_end(
        incarnation,
        EngineEnd(
            ended_s=ended_s,
            suspects={
                key: Suspect(depth=depth, is_starting=True)
                for depth, key in enumerate(keys or (_KEY,))
            },
        ),
    )


def withhold(quarantine, now_s, request_id='r', *, may_probe=True, version=0):
    """Return for which segment a request with ``_KEY`` is refused."""
    return quarantine.withhold(
        WithheldRequest(id=request_id, keys=(_COMMON_KEY, _KEY)),
        now_s=now_s,
        weights_versions={_MODEL: version},
        may_probe=lambda key: may_probe,
    )


def answer(quarantine, request_id, now_s, *keys) -> None:
    """Record a sound response to a request with ``_KEY``."""
    quarantine.record_answer(
        keys or (_KEY,),
        request_id=request_id,
        started_s=now_s - 0.1,
        now_s=now_s,
    )


def test_request_is_withheld_before_the_verdict():
    quarantine = SegmentQuarantine()
    for number in range(3):
        record_end(quarantine, f'e{number}', 98 + number / 2)
    assert withhold(quarantine, 99.4) is None
    quarantine.evaluate(99.5, {})
    assert not quarantine.table.quarantined
    assert withhold(quarantine, 99.6).key == _KEY


def test_sound_response_elsewhere_ends_a_suspicion():
    quarantine = SegmentQuarantine()
    for number in range(3):
        record_end(quarantine, f'e{number}', 98 + number / 2)
    quarantine.evaluate(99.5, {})
    other = SegmentQuarantine()
    record_end(other, 'e0', 98)
    record_end(other, 'e1', 98.5)
    answer(other, 'r', 97)
    quarantine.merge_report('vm-2', other.report(99.6), 99.6)
    quarantine.evaluate(100.1, {})
    assert not quarantine.table.quarantined
    assert withhold(quarantine, 100.1) is None


def test_one_request_is_tried_after_a_while():
    quarantine = build_quarantine()
    refused = withhold(quarantine, 101)
    assert refused.retry_after_s == _FIRST_PROBE_S - 1
    due_s = 100 + _FIRST_PROBE_S
    assert withhold(quarantine, due_s, may_probe=False) is not None
    assert withhold(quarantine, due_s, request_id='') is not None
    assert withhold(quarantine, due_s, 'probe') is None
    assert withhold(quarantine, due_s, 'probe') is None
    assert withhold(quarantine, due_s, 'other') is not None
    later = withhold(quarantine, due_s + 1, 'other')
    assert later.retry_after_s == 3 * _FIRST_PROBE_S - 1


def test_sound_response_to_the_tried_request_lifts_the_quarantine():
    quarantine = build_quarantine()
    due_s = 100 + _FIRST_PROBE_S
    withhold(quarantine, due_s, 'probe')
    answer(quarantine, 'probe', due_s + 1)
    assert not quarantine.table.quarantined
    assert withhold(quarantine, due_s + 1, 'other') is None


def test_tried_request_that_ends_an_engine_changes_nothing():
    quarantine = build_quarantine()
    due_s = 100 + _FIRST_PROBE_S
    withhold(quarantine, due_s, 'probe')
    record_end(quarantine, 'e9', due_s + 0.1)
    quarantine.end_probe('probe')
    quarantine.evaluate(due_s + 1, {})
    assert withhold(quarantine, due_s + 2, 'probe') is not None


# Guards against a request that is tried late, when the evidence has expired,
# and ends a second engine in its retry.
def test_tried_request_is_not_repeated():
    quarantine = build_quarantine()
    withhold(quarantine, 100 + _FIRST_PROBE_S, 'first')
    quarantine.end_probe('first')
    due_s = 100 + 4 * _FIRST_PROBE_S
    quarantine.evaluate(due_s, {})
    assert withhold(quarantine, due_s, 'second') is None
    record_end(quarantine, 'e9', due_s + 0.1)
    assert not quarantine.may_retry((_COMMON_KEY, _KEY), due_s + 0.2)


def test_new_weights_are_a_reason_to_try_earlier():
    quarantine = build_quarantine()
    due_s = 100 + _FIRST_PROBE_S
    withhold(quarantine, due_s, 'probe', version=1)
    quarantine.end_probe('probe')
    assert withhold(quarantine, due_s + 59, 'a', version=2) is not None
    assert withhold(quarantine, due_s + 61, 'b', version=1) is not None
    assert withhold(quarantine, due_s + 61, 'c', version=2) is None


# Guards against a sound segment that stays quarantined though its responses,
# which had begun before, go on at engines that live.
def test_responses_that_go_on_lift_the_quarantine():
    quarantine = build_quarantine()
    answer(quarantine, 'before', 98.4)
    quarantine.evaluate(100.1, {})
    assert _KEY in quarantine.table.quarantined
    answer(quarantine, 'after', 100.2)
    quarantine.evaluate(100.3, {})
    assert not quarantine.table.quarantined


def test_lifted_quarantine_returns_only_after_as_many_ends():
    quarantine = build_quarantine()
    assert quarantine.lift(_KEY, 101)
    assert not quarantine.lift(_KEY, 101)
    quarantine.evaluate(101.1, {})
    quarantine.evaluate(102, {})
    assert not quarantine.table.quarantined
    for number in range(3):
        record_end(quarantine, f'f{number}', 103 + number / 2)
    quarantine.evaluate(104.1, {})
    quarantine.evaluate(105, {})
    assert _KEY in quarantine.table.quarantined


# Guards against a VM that was suspended and reports an opinion of before.
def test_older_verdict_does_not_come_back():
    quarantine = build_quarantine()
    before = quarantine.report(100.1)
    quarantine.lift(_KEY, 101)
    quarantine.merge_report('vm-2', before, 102)
    assert not quarantine.table.quarantined


def test_verdicts_expire_everywhere_alike():
    quarantine = build_quarantine()
    old = quarantine.report(100.1)
    quarantine.evaluate(8000, {})
    assert not quarantine.table.verdicts
    quarantine.merge_report('vm-2', old, 8000)
    assert not quarantine.table.verdicts


def test_request_is_repeated_once_unless_its_segment_was_there_before():
    quarantine = SegmentQuarantine()
    record_end(quarantine, 'e0', 100, _COMMON_KEY, _KEY)
    assert quarantine.may_retry((_COMMON_KEY, _KEY), 100.1)
    record_end(quarantine, 'e1', 101, _COMMON_KEY, _KEY)
    assert not quarantine.may_retry((_COMMON_KEY, _KEY), 101.1)
    answer(quarantine, 'r', 101.2, _COMMON_KEY)
    assert quarantine.may_retry((_COMMON_KEY,), 101.3)


def test_report_is_empty_while_no_engine_ends():
    quarantine = SegmentQuarantine()
    answer(quarantine, 'r', 100)
    assert not quarantine_to_fields(quarantine.report(100), 100)


def test_report_stays_bounded():
    quarantine = SegmentQuarantine()
    for number in range(300):
        keys = [
            segment_key(_MODEL, f'segment-{number}-{part}')
            for part in range(40)
        ]
        record_end(quarantine, f'engine-{number}', 100 + number / 100, *keys)
        quarantine.table.quarantine(
            segment_key(_MODEL, 'x' * 9000 + str(number)),
            now_s=100,
            weights_version=1,
        )
    encoded = orjson.dumps(quarantine_to_fields(quarantine.report(104), 104))
    assert len(encoded) < _MAX_REPORT_BYTES


def test_both_encodings_keep_a_report():
    quarantine = build_quarantine()
    answer(quarantine, 'r', 100)
    report = quarantine.report(100)
    fields = orjson.loads(orjson.dumps(quarantine_to_fields(report, 100)))
    assert _rounded(quarantine_from_fields(fields, 100)) == _rounded(report)
    message = encode_message(build_exchange('vm-1', report, 100))
    exchange = decode_message(QuarantineExchange, message).ok_value
    assert _rounded(read_exchange(exchange, 100)) == _rounded(report)


def _rounded(report: QuarantineReport) -> QuarantineReport:
    return QuarantineReport(
        ends={
            name: attrs.evolve(end, ended_s=round(end.ended_s, 3))
            for name, end in report.ends.items()
        },
        answers={
            key: attrs.evolve(
                totals, latest_start_s=round(totals.latest_start_s, 3)
            )
            for key, totals in report.answers.items()
        },
        verdicts={
            key: Verdict(
                revision=verdict.revision,
                is_quarantined=verdict.is_quarantined,
                changed_s=round(verdict.changed_s, 3),
                probes=verdict.probes,
            )
            for key, verdict in report.verdicts.items()
        },
    )
