"""Export the launcher that runs a cluster of local processes."""

from emulator._cluster import (
    Cluster,
    ClusterOptions,
    Node,
    ChildProcess,
    call_json,
    running_cluster,
    wait_for_ok,
    wait_until,
)

__all__ = (
    'Cluster',
    'ClusterOptions',
    'Node',
    'ChildProcess',
    'call_json',
    'running_cluster',
    'wait_for_ok',
    'wait_until',
)
