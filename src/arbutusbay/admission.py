"""Expose the prediction of starts that both edges admit requests by."""

from arbutusbay._admission import (
    ExpectedPlaces,
    PlaceRate,
    ReturningPlaces,
    StartEstimate,
    StartPredictor,
    may_await_silence,
    retry_after_s,
)

__all__ = (
    'ExpectedPlaces',
    'PlaceRate',
    'ReturningPlaces',
    'StartEstimate',
    'StartPredictor',
    'may_await_silence',
    'retry_after_s',
)
