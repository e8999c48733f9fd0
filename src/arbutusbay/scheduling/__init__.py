"""Schedule requests and weights loads with functions free of I/O."""

from arbutusbay.scheduling._admission_queue import AdmissionQueue
from arbutusbay.scheduling._engine_view import (
    EngineView,
    PlannedWeightsLoad,
)
from arbutusbay.scheduling._lease_rules import (
    LeaseDurations,
    ObservedClaim,
    ObservedEra,
    can_claim,
    fencing_token,
    is_claim_valid,
)
from arbutusbay.scheduling._load_duration import LoadDuration
from arbutusbay.scheduling._membership import Member, Membership
from arbutusbay.scheduling._occupancy import (
    PEER_REPORT_TTL_S,
    Attempt,
    Occupancy,
    OccupancyTracker,
)
from arbutusbay.scheduling._outcomes import (
    AttemptCounts,
    AttemptOutcome,
    ResponseProgress,
    RetryAction,
    choose_retry_action,
    was_certainly_not_executed,
)
from arbutusbay.scheduling._placement import (
    EngineChoice,
    Lack,
    ModelRequestSize,
    PlacementContext,
    choose_model_engine,
    choose_plain_server,
    eligible_engines,
    next_acceptance_s,
)
from arbutusbay.scheduling._prompt_length_partition import (
    RecentWork,
    WorkTotals,
    engines_for_length,
    rank_engines,
    short_prompt_fractions,
    short_prompt_share,
)
from arbutusbay.scheduling._report_recipients import (
    MIN_REPORT_INTERVAL_S,
    ReportRecipients,
    choose_report_recipients,
    has_tiers,
    remote_heartbeat_interval_s,
    zone_report_interval_s,
)
from arbutusbay.scheduling._request_queue import (
    QueuedRequest,
    RequestQueue,
)
from arbutusbay.scheduling._retry_budget import RetryBudget
from arbutusbay.scheduling._rollout_plan import (
    WEIGHTS_LOAD_NOTICE_S,
    LoadSchedule,
    RolloutState,
    WeightsLoad,
    outdated_engines,
    schedule_loads,
)
from arbutusbay.scheduling._speed_choice import time_factor
from arbutusbay.scheduling._staleness import (
    is_fresh_enough,
    relayed_data_time_s,
)
from arbutusbay.scheduling._store_sources import (
    DirectRead,
    PeerRead,
    StoreSource,
    rank_sources,
    source_name,
)
from arbutusbay.scheduling._takeover_turn import takeover_delay_s

__all__ = (
    'MIN_REPORT_INTERVAL_S',
    'PEER_REPORT_TTL_S',
    'WEIGHTS_LOAD_NOTICE_S',
    'AdmissionQueue',
    'Attempt',
    'AttemptCounts',
    'AttemptOutcome',
    'DirectRead',
    'EngineChoice',
    'Lack',
    'EngineView',
    'LeaseDurations',
    'LoadDuration',
    'LoadSchedule',
    'Member',
    'Membership',
    'ModelRequestSize',
    'ObservedClaim',
    'ObservedEra',
    'Occupancy',
    'OccupancyTracker',
    'PeerRead',
    'PlacementContext',
    'PlannedWeightsLoad',
    'QueuedRequest',
    'RecentWork',
    'ReportRecipients',
    'RequestQueue',
    'ResponseProgress',
    'RetryAction',
    'RetryBudget',
    'RolloutState',
    'StoreSource',
    'WeightsLoad',
    'WorkTotals',
    'can_claim',
    'choose_model_engine',
    'choose_plain_server',
    'choose_report_recipients',
    'choose_retry_action',
    'eligible_engines',
    'has_tiers',
    'engines_for_length',
    'fencing_token',
    'is_claim_valid',
    'is_fresh_enough',
    'next_acceptance_s',
    'outdated_engines',
    'rank_engines',
    'rank_sources',
    'relayed_data_time_s',
    'remote_heartbeat_interval_s',
    'schedule_loads',
    'short_prompt_fractions',
    'short_prompt_share',
    'source_name',
    'takeover_delay_s',
    'time_factor',
    'was_certainly_not_executed',
    'zone_report_interval_s',
)
