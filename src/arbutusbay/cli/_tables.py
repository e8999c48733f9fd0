"""Print answers as tables for people or JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import orjson
from tabulate import tabulate


def print_json(answer: Any) -> None:
    """Print ``answer`` as indented JSON."""
    text = orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')


def print_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> None:
    """Print rows under ``headers``."""
    text = tabulate(list(rows), headers=headers, tablefmt='plain')
    sys.stdout.write(f'{text}\n')


def resource_rows(items: Iterable[Any]) -> list[Sequence[Any]]:
    """Return one row for each resource with its conditions."""
    return [
        (
            entry['kind'],
            entry['name'],
            entry['version'],
            _condition_text(entry),
        )
        for entry in items
    ]


def _condition_text(entry: Any) -> str:
    conditions = entry.get('status', {}).get('conditions', ())
    return ', '.join(
        f'{"" if condition["status"] else "not "}{condition["type"]} '
        f'({condition["reason"]})'
        for condition in conditions
    )
