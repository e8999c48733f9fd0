"""Expose the check for engines that ended under requests."""

from arbutusbay._engine_ends import EngineEndDetector, EngineProcess

__all__ = ('EngineEndDetector', 'EngineProcess')
