"""Expose the fair order of waiting requests, shared by both edges."""

from arbutusbay.fairness._expected_returns import (
    MAX_REPORTED_RETURNS,
    ExpectedReturns,
    ReturnWindow,
    return_key,
)
from arbutusbay.fairness._fair_queue import FLOOR_SHARE, FairQueue
from arbutusbay.fairness._fleet_queues import (
    MAX_REPORTED_ZONE_TEAMS,
    FleetQueues,
    ServiceQueues,
)
from arbutusbay.fairness._left_places import LeftPlaces, PlaceOffer
from arbutusbay.fairness._queue_entry import QueueEntry, work_tokens
from arbutusbay.fairness._team_work import TeamWork
from arbutusbay.fairness._waiting_elsewhere import (
    WaitingElsewhere,
    WaitingReport,
)

__all__ = (
    'FLOOR_SHARE',
    'MAX_REPORTED_RETURNS',
    'MAX_REPORTED_ZONE_TEAMS',
    'ExpectedReturns',
    'FairQueue',
    'FleetQueues',
    'LeftPlaces',
    'PlaceOffer',
    'QueueEntry',
    'ReturnWindow',
    'ServiceQueues',
    'TeamWork',
    'WaitingElsewhere',
    'WaitingReport',
    'return_key',
    'work_tokens',
)
