"""Schedule requests and weights loads with functions free of I/O."""

from arbutusbay.scheduling._audience import Audience, audience_of
from arbutusbay.scheduling._budget import Budget
from arbutusbay.scheduling._engine_view import (
    PEER_MEMORY_S,
    AnnouncedLoad,
    Attempt,
    EngineView,
    Occupancy,
    PeerOccupancy,
    total_occupancy,
)
from arbutusbay.scheduling._freshness_rules import is_within, relayed_as_of_s
from arbutusbay.scheduling._lease_rules import (
    LeaseTimes,
    SeenClaim,
    is_claim_valid,
    may_claim,
)
from arbutusbay.scheduling._outcomes import (
    AttemptCount,
    NextStep,
    Outcome,
    is_known_not_run,
    next_step,
)
from arbutusbay.scheduling._overload_queue import (
    OverloadQueue,
    QueuedRequest,
)
from arbutusbay.scheduling._placement import (
    Choice,
    ModelSetting,
    ModelWork,
    choose_for_model,
    choose_for_plain,
    usable_engines,
)
from arbutusbay.scheduling._rollout_plan import (
    NOTICE_S,
    NextLoads,
    RolloutState,
    WeightsLoad,
    next_loads,
    outdated_engines,
)
from arbutusbay.scheduling._sides import (
    WorkMix,
    WorkSums,
    ranked_engines,
    short_fractions,
    short_share,
)
from arbutusbay.scheduling._sources import (
    FollowVM,
    ReadStore,
    Source,
    source_name,
    sources_in_order,
)

__all__ = (
    'NOTICE_S',
    'PEER_MEMORY_S',
    'AnnouncedLoad',
    'Attempt',
    'AttemptCount',
    'Audience',
    'Budget',
    'Choice',
    'EngineView',
    'FollowVM',
    'LeaseTimes',
    'ModelSetting',
    'ModelWork',
    'NextLoads',
    'NextStep',
    'Occupancy',
    'Outcome',
    'OverloadQueue',
    'PeerOccupancy',
    'QueuedRequest',
    'ReadStore',
    'RolloutState',
    'SeenClaim',
    'Source',
    'WeightsLoad',
    'WorkMix',
    'WorkSums',
    'audience_of',
    'choose_for_model',
    'choose_for_plain',
    'is_claim_valid',
    'is_known_not_run',
    'is_within',
    'may_claim',
    'next_loads',
    'next_step',
    'outdated_engines',
    'ranked_engines',
    'relayed_as_of_s',
    'short_fractions',
    'short_share',
    'source_name',
    'sources_in_order',
    'total_occupancy',
    'usable_engines',
)
