"""Expose the router's placement, queueing and retry budget algorithms."""

from arbutusbay.policy._engine_state import EngineState, InFlightAttempt
from arbutusbay.policy._hot_prefixes import HotPrefixCounter, sample_depths
from arbutusbay.policy._job import BYTES_PER_TOKEN, Job
from arbutusbay.policy._placement import (
    CostBased,
    EngineChoice,
    FewestInFlight,
    Policy,
    PolicyName,
    PoolView,
    PrefixRendezvous,
    RoundRobin,
    choose_engine,
    engine_window,
    has_capacity,
    median_piece_s,
    predicted_first_token_s,
)
from arbutusbay.policy._queued_job import QueuedJob
from arbutusbay.scheduling import RetryBudget

__all__ = (
    'BYTES_PER_TOKEN',
    'CostBased',
    'EngineChoice',
    'EngineState',
    'FewestInFlight',
    'HotPrefixCounter',
    'InFlightAttempt',
    'Job',
    'Policy',
    'PolicyName',
    'PoolView',
    'PrefixRendezvous',
    'QueuedJob',
    'RetryBudget',
    'RoundRobin',
    'choose_engine',
    'engine_window',
    'has_capacity',
    'median_piece_s',
    'predicted_first_token_s',
    'sample_depths',
)
