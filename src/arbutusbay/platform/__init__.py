"""Expose the adapter to the protocols of the platform.

It covers the settings file, the store, engine calls, HTTP headers and
server-sent events.
"""

from arbutusbay.platform._coordination_records import (
    VerdictRecord,
    decode_coordination_record,
    encode_lease_claim,
    encode_verdict,
    encode_vm_record,
    verdict_record_key,
    vm_record_key,
)
from arbutusbay.platform._endpoints import Endpoint, parse_endpoint
from arbutusbay.platform._engine_calls import (
    EngineReport,
    LoadOrder,
    LoadOrderResult,
    WeightsSwitchMode,
    call_cache_store,
    fetch_engine_report,
    send_load_order,
)
from arbutusbay.platform._http_headers import (
    AttemptHeaders,
    EngineLoad,
    PromptSegment,
    RequestHead,
    ResponseHead,
    build_backend_headers,
    build_client_headers,
    build_refusal_headers,
    get_attempt_id,
    parse_request_head,
    parse_response_head,
)
from arbutusbay.platform._operator_records import (
    decode_backend_server,
    decode_operator_record,
)
from arbutusbay.platform._protocol_names import READINESS_PATH, Topic
from arbutusbay.platform._settings_file import (
    DeploymentLimits,
    VMSettings,
    read_settings,
    settings_path_from_environment,
)
from arbutusbay.platform._sse_parser import (
    ServerSentEvent,
    ServerSentEventParser,
)
from arbutusbay.platform._store_client import (
    ConditionFailed,
    KeyedRecord,
    LatestRecords,
    OutcomeUnknown,
    ReadPage,
    RecordsExpired,
    StoreClient,
    StoreFailure,
    StorePosition,
    StoreUnavailable,
)

__all__ = (
    'READINESS_PATH',
    'AttemptHeaders',
    'ConditionFailed',
    'DeploymentLimits',
    'Endpoint',
    'EngineLoad',
    'EngineReport',
    'KeyedRecord',
    'LatestRecords',
    'LoadOrder',
    'LoadOrderResult',
    'OutcomeUnknown',
    'PromptSegment',
    'ReadPage',
    'RecordsExpired',
    'RequestHead',
    'ResponseHead',
    'ServerSentEvent',
    'ServerSentEventParser',
    'StoreClient',
    'StoreFailure',
    'StorePosition',
    'StoreUnavailable',
    'Topic',
    'VMSettings',
    'VerdictRecord',
    'WeightsSwitchMode',
    'build_backend_headers',
    'build_client_headers',
    'build_refusal_headers',
    'call_cache_store',
    'decode_backend_server',
    'decode_coordination_record',
    'decode_operator_record',
    'encode_lease_claim',
    'encode_verdict',
    'encode_vm_record',
    'fetch_engine_report',
    'get_attempt_id',
    'parse_endpoint',
    'parse_request_head',
    'parse_response_head',
    'read_settings',
    'send_load_order',
    'settings_path_from_environment',
    'verdict_record_key',
    'vm_record_key',
)
