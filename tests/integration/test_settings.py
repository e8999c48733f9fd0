"""Check settings and the daemons' command line."""

import subprocess
import sys

import pytest

_GOOD = """
peers = []
[node]
id = "vm-1"
host = "127.0.0.1"
zone = "plateau"
"""
_PLATFORM = """
[platform]
log_url = "http://127.0.0.1:1"
vms_url = "http://127.0.0.1:1"
"""


def _check(program: str, path) -> subprocess.CompletedProcess[str]:
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
    [('router', _GOOD), ('control', f'{_GOOD}{_PLATFORM}')],
)
def test_good_settings(tmp_path, program, text):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    checked = _check(program, path)
    assert checked.returncode == 0, checked.stderr


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        (f'color = "red"\n{_GOOD}', 'color'),
        (f'{_GOOD}router_port = 99999\n', 'router_port'),
        (f'{_GOOD}router_port = "80"\n', 'router_port'),
        (f'{_GOOD}[limits]\nmax_attempts = 0\n', 'max_attempts'),
        (f'policy = "magic"\n{_GOOD}', 'policy'),
        ('[node\n', 'Expected'),
        ('', 'node'),
    ],
)
def test_bad_settings_are_named(tmp_path, text, named):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    checked = _check('router', path)
    assert checked.returncode == 2
    assert named in checked.stderr


def test_missing_file(tmp_path):
    checked = _check('control', tmp_path / 'absent.toml')
    assert checked.returncode == 2
    assert 'absent.toml' in checked.stderr
