"""Export the launcher that runs a cluster of local processes."""

from emulator._cluster import (
    ChildProcess,
    Cluster,
    ClusterOptions,
    Node,
    call_json,
    running_cluster,
    wait_for_ok,
    wait_until,
)

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
