"""Check that ``--check`` validates the settings of the daemons.

Invalid settings must be rejected before a daemon starts, with an error that
names the setting.
"""

import subprocess
import sys

import pytest

_NODE_SETTINGS = """
peers = []
[node]
id = "vm-1"
host = "127.0.0.1"
zone = "plateau"
"""
_PLATFORM_SETTINGS = """
[platform]
log_url = "http://127.0.0.1:1"
vms_url = "http://127.0.0.1:1"
"""


def _run_check(program: str, path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [
            sys.executable,
            '-m',
            f'arbutusbay.{program}',
            '--config',
            str(path),
            '--check',
        ],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@pytest.mark.parametrize(
    ('program', 'text'),
    [
        ('router', _NODE_SETTINGS),
        ('control', f'{_NODE_SETTINGS}{_PLATFORM_SETTINGS}'),
    ],
)
def test_valid_settings_are_accepted(tmp_path, program, text):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    completed = _run_check(program, path)
    assert completed.returncode == 0, completed.stderr


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        (f'color = "red"\n{_NODE_SETTINGS}', 'color'),
        (f'{_NODE_SETTINGS}router_port = 99999\n', 'router_port'),
        (f'{_NODE_SETTINGS}router_port = "80"\n', 'router_port'),
        (f'{_NODE_SETTINGS}[limits]\nmax_attempts = 0\n', 'max_attempts'),
        (f'policy = "magic"\n{_NODE_SETTINGS}', 'policy'),
        ('[node\n', 'Expected'),
        ('', 'node'),
    ],
)
def test_invalid_settings_are_named_in_the_error(tmp_path, text, named):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    completed = _run_check('router', path)
    assert completed.returncode == 2
    assert named in completed.stderr


def test_missing_settings_file_is_named_in_the_error(tmp_path):
    completed = _run_check('control', tmp_path / 'absent.toml')
    assert completed.returncode == 2
    assert 'absent.toml' in completed.stderr
