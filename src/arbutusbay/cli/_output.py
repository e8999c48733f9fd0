"""Print API responses as tables or as JSON."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import orjson
from tabulate import tabulate


def print_json(response: Any) -> None:
    """Print ``response`` as indented JSON."""
    text = orjson.dumps(response, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')


def print_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> None:
    """Print ``rows`` as a plain-text table with ``headers``."""
    text = tabulate(list(rows), headers=headers, tablefmt='plain')
    sys.stdout.write(f'{text}\n')


def build_resource_rows(items: Iterable[Any]) -> list[Sequence[Any]]:
    """Return one table row for each resource.

    The columns are its kind, name, version and conditions.
    """
    return [
        (
            entry['kind'],
            entry['name'],
            entry['version'],
            _format_conditions(entry),
        )
        for entry in items
    ]


def _format_conditions(entry: Any) -> str:
    conditions = entry.get('status', {}).get('conditions', ())
    return ', '.join(
        f'{"" if condition["status"] else "not "}{condition["type"]} '
        f'({condition["reason"]})'
        for condition in conditions
    )
