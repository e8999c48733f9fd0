"""Export the launcher that runs a cluster of local processes."""

from emulator._child_process import ChildProcess
from emulator._cluster import Cluster, ClusterOptions, Node, running_cluster
from emulator._json_calls import call_json, wait_for_ok, wait_until

__all__ = (
    'ChildProcess',
    'Cluster',
    'ClusterOptions',
    'Node',
    'call_json',
    'running_cluster',
    'wait_for_ok',
    'wait_until',
)
