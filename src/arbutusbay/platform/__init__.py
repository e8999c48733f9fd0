"""Expose the adapter of the users' platform.

It covers the settings file, the store, engine calls, HTTP headers and
server-sent events.
"""

from arbutusbay.platform._coordination import (
    coordination_document_from_record,
    record_from_claim,
    record_from_vm,
)
from arbutusbay.platform._documents import (
    backend_server_from_record,
    operator_document_from_record,
)
from arbutusbay.platform._engine_calls import (
    EngineReport,
    LoadOrder,
    OrderOutcome,
    SwitchMode,
    fetch_report,
    send_load_order,
)
from arbutusbay.platform._events import EventSplitter, StreamEvent
from arbutusbay.platform._names import READINESS_PATH, Topic
from arbutusbay.platform._requests import (
    AnswerHead,
    AttemptOrders,
    EngineLoad,
    PromptPart,
    RequestHead,
    answer_head_from,
    attempt_id_from,
    headers_to_client,
    headers_to_engine,
    refusal_headers,
    request_head_from,
)
from arbutusbay.platform._settings_file import (
    Bounds,
    Endpoint,
    VMSettings,
    endpoint_from_text,
    read_settings,
    settings_path,
)
from arbutusbay.platform._store import (
    ConditionFailed,
    KeyedRecord,
    NewestRecords,
    OutcomeUnknown,
    RecordsExpired,
    StoreClient,
    StoreFailure,
    StoreUnavailable,
)

__all__ = (
    'READINESS_PATH',
    'AnswerHead',
    'AttemptOrders',
    'Bounds',
    'ConditionFailed',
    'Endpoint',
    'EngineLoad',
    'EngineReport',
    'EventSplitter',
    'KeyedRecord',
    'LoadOrder',
    'NewestRecords',
    'OrderOutcome',
    'OutcomeUnknown',
    'PromptPart',
    'RecordsExpired',
    'RequestHead',
    'StoreClient',
    'StoreFailure',
    'StoreUnavailable',
    'StreamEvent',
    'SwitchMode',
    'Topic',
    'VMSettings',
    'answer_head_from',
    'attempt_id_from',
    'backend_server_from_record',
    'coordination_document_from_record',
    'endpoint_from_text',
    'fetch_report',
    'headers_to_client',
    'headers_to_engine',
    'operator_document_from_record',
    'read_settings',
    'record_from_claim',
    'record_from_vm',
    'request_head_from',
    'refusal_headers',
    'send_load_order',
    'settings_path',
)
