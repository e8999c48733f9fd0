"""Expose the router's placement, queueing and retry budget algorithms."""

from arbutusbay.scheduling import Budget
from arbutusbay.policy._engine_state import EngineState, InFlight
from arbutusbay.policy._fair_queue import FairQueue, Waiting
from arbutusbay.policy._hot_levels import HotLevels, sample_depths
from arbutusbay.policy._job import BYTES_PER_TOKEN, Job
from arbutusbay.policy._placement import (
    Choice,
    CostBased,
    FewestInFlight,
    Policy,
    PolicyName,
    PoolView,
    PrefixRendezvous,
    RoundRobin,
    choose_engine,
    engine_window,
    has_room,
    median_piece_s,
    predicted_first_token_s,
)

__all__ = (
    'BYTES_PER_TOKEN',
    'Budget',
    'Choice',
    'CostBased',
    'EngineState',
    'FairQueue',
    'FewestInFlight',
    'HotLevels',
    'InFlight',
    'Job',
    'Policy',
    'PolicyName',
    'PoolView',
    'PrefixRendezvous',
    'RoundRobin',
    'Waiting',
    'choose_engine',
    'engine_window',
    'has_room',
    'median_piece_s',
    'predicted_first_token_s',
    'sample_depths',
)
