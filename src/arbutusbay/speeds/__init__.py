"""Find how fast each backend server is and how many requests it takes well.

Everything here is free of I/O: durations of responses go in, estimates that
the placement reads come out.
"""

from arbutusbay.speeds._evidence import Evidence
from arbutusbay.speeds._reports import (
    MAX_REPORTED_LINES,
    MAX_REPORTED_SLOWDOWNS,
    MAX_REPORTED_SUMS,
    ReportedSlowdown,
    SampleSum,
    SampleWindows,
    SpeedReport,
)
from arbutusbay.speeds._server_speed import ServerSpeed
from arbutusbay.speeds._speed_book import (
    ESTIMATE_LIFETIME_S,
    ServerIdentity,
    SpeedBook,
    SpeedSample,
)
from arbutusbay.speeds._types import LOAD_LEVELS, SpeedEstimate, load_level
from arbutusbay.speeds._work_times import WorkLine, WorkTime

__all__ = (
    'ESTIMATE_LIFETIME_S',
    'LOAD_LEVELS',
    'MAX_REPORTED_LINES',
    'MAX_REPORTED_SLOWDOWNS',
    'MAX_REPORTED_SUMS',
    'Evidence',
    'ReportedSlowdown',
    'SampleSum',
    'SampleWindows',
    'ServerIdentity',
    'ServerSpeed',
    'SpeedBook',
    'SpeedEstimate',
    'SpeedReport',
    'SpeedSample',
    'WorkLine',
    'WorkTime',
    'load_level',
)
