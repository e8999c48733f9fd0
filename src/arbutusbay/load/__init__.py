"""Expose the load generator."""

from arbutusbay.load._main import main, run_workload
from arbutusbay.load._report import build_report
from arbutusbay.load._workload import Workload, load_workload

__all__ = (
    'Workload',
    'build_report',
    'load_workload',
    'main',
    'run_workload',
)
