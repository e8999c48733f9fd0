"""Define the names of the platform's headers, paths and topics."""

import enum

SETTINGS_ENV_VARIABLE = 'ARBUTUSBAY_SETTINGS'
BEARER_PREFIX = 'Bearer '
READINESS_PATH = '/arbutusbay/readiness'


class HeaderName(enum.StrEnum):
    """List the HTTP headers of requests and responses."""

    ATTEMPT_ID = 'Attempt-Id'
    AUTHORIZATION = 'Authorization'
    CACHE_SALT = 'Cache-Salt'
    DEADLINE_MS = 'Deadline-Ms'
    EXPECT_INSTANCE = 'Expect-Instance'
    EXPECT_VERSION = 'Expect-Version'
    HOLD = 'Hold'
    INSTANCE_ID = 'Instance-Id'
    KV_BACKUP = 'Kv-Backup'
    KV_FETCH = 'Kv-Fetch'
    KV_FROM = 'Kv-From'
    KV_SAVE = 'Kv-Save'
    LAST_EVENT_ID = 'Last-Event-Id'
    LENGTH_HINT = 'Length-Hint'
    MODEL = 'Model'
    NOT_EXECUTED = 'Not-Executed'
    PIN_MS = 'Pin-Ms'
    PROMPT_PREFIX = 'Prompt-Prefix'
    REQUEST_PRIORITY = 'Request-Priority'
    RESPONSE_STAMP = 'Response-Stamp'
    RETRY_AFTER = 'Retry-After'
    SERVER_LEAVING = 'Server-Leaving'
    SERVER_LOAD = 'Server-Load'
    STORE_ERA = 'Store-Era'
    TENANT = 'Tenant'
    TOKEN_COUNTS = 'Token-Counts'
    WEIGHT_VERSIONS = 'Weight-Versions'


class Topic(enum.StrEnum):
    """List the topics of the store that this system reads or writes."""

    OPERATOR = 'keyed.op'
    SERVERS = 'keyed.servers'
    COORDINATION = 'keyed.arbutusbay'


class StoreEndpoint(enum.StrEnum):
    """List the HTTP paths of the store."""

    APPEND = '/arbutusbay/log-append'
    READ = '/arbutusbay/log-read'
    NEWEST = '/arbutusbay/log-newest'


class EngineEndpoint(enum.StrEnum):
    """List the HTTP paths of engines for reports and load orders."""

    REPORT = '/arbutusbay/report'
    ORDER = '/arbutusbay/order'
