"""Settings and configurations like those of a small deployment.

The figures are those of the sheet of the till roll order desk and of its grown
fleet; `DEPLOY.md` shows the settings file.
"""

import emulator.fleet

SETTINGS = """\
node = "{name}"
role = "node"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "dakar"
internal_ports = [{peer_from}, {peer_to}]
seeds = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
plateau = "dakar"
hann = "dakar"
rufisque = "dakar"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{readiness}"
control_plane = "{ip}:{control}"
[limits]
cpu_share = 0.731
cores = 1
memory_mb = 136
fd_limit = 1535
link_mbps = 350.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = {grace_s}
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
fail_closed = true
revocation_ms = {revocation_ms}
retry_budget_ratio = {retry_ratio}
budget_window_s = 10
retry_budget_slack = {retry_slack}
recovery_s = 12
transit_ms = 120
reuse_window_s = 10
fencing_required = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = {version_ms}
version_all_ms = 11000
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
"""
LANGUAGE = 'redacteur'
LANGUAGE_HOST = 'jepu9.example'
MODEL = 'daka510000'
TENANT = 'sese880'
API_KEY = 'ctnfzs989anu6wsjnban'


def use_settings() -> None:
    """Start nodes with these settings in place of those of the emulator."""
    emulator.fleet.SETTINGS = SETTINGS


def note_route(**changes: object) -> dict[str, object]:
    """Return the route of `reorder-note`, a stream that may be resumed."""
    route: dict[str, object] = {
        'name': 'reorder-note',
        'host': LANGUAGE_HOST,
        'path_prefix': '/lepu270/',
        'kind': 'streaming',
        'timeout_ms': 15000,
        'target_latency_ms': 415,
        'target_gap_ms': 400,
        'priority': 0,
        'service': LANGUAGE,
        'max_attempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
    }
    return {**route, **changes}


def configuration(routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a whole configuration with ``routes``."""
    return {
        'version': 1,
        'routes': routes,
        'services': [
            {
                'name': LANGUAGE,
                'health_check_path': '/health',
                'max_connections': 863,
                'engine': {
                    'slots': 64,
                    'kv_capacity_tokens': 110989,
                    'kv_token_bytes': 163840,
                    'link_mbps': 550000,
                    'models': [{'name': MODEL}],
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [API_KEY]}],
    }
