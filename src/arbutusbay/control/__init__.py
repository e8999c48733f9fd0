"""Expose the control daemon and the parts that are used on their own.

The control daemon stores the declared configuration, tracks the members of
the cluster, indexes the caches of engines and rolls out weights. Tests and
benchmarks use the other names.
"""

from arbutusbay.control._block_hash_set import BlockHashSet
from arbutusbay.control._config_log_reader import restore_config
from arbutusbay.control._ledger_partition import LedgerPartition
from arbutusbay.control._main import main
from arbutusbay.control._membership import merge_member
from arbutusbay.control._rollout_plan import engines_to_load
from arbutusbay.control._settings import ControlSettings
from arbutusbay.control._shared_state import ControlState

__all__ = (
    'BlockHashSet',
    'ControlSettings',
    'ControlState',
    'LedgerPartition',
    'engines_to_load',
    'main',
    'merge_member',
    'restore_config',
)
