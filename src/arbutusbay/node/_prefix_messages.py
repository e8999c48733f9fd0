"""Encode and decode what VMs report to each other about saved prefixes."""

from collections.abc import Mapping, Sequence
from typing import Any

from arbutusbay.checked_values import (
    require_count,
    require_list,
    require_text,
)
from arbutusbay.prefixes import (
    MAX_PREFIX_HASH,
    MAX_REPORTED,
    MAX_REPORTED_STORES,
    SavedReport,
)


def saved_to_fields(report: SavedReport) -> dict[str, Sequence[int | str]]:
    """Return ``report`` as JSON values, empty if there is nothing to report."""
    fields: dict[str, Sequence[int | str]] = {}
    if report.saved:
        fields['s'] = report.saved
    if report.relayed:
        fields['r'] = report.relayed
    if report.dead_stores:
        fields['d'] = report.dead_stores
    return fields


def saved_from_fields(fields: Mapping[str, Any]) -> SavedReport:
    """Return the report.

    Raises ``AttributeError`` or ``ValueError`` if it is malformed.
    """
    return SavedReport(
        saved=_hashes(fields.get('s', [])),
        relayed=_hashes(fields.get('r', [])),
        dead_stores=_addresses(fields.get('d', [])),
    )


def _hashes(encoded: Any) -> tuple[int, ...]:
    return tuple(
        require_count(prefix_hash, 'k', highest=MAX_PREFIX_HASH)
        for prefix_hash in require_list(encoded, 'k')[:MAX_REPORTED]
    )


def _addresses(encoded: Any) -> tuple[str, ...]:
    return tuple(
        require_text(address, 'k')
        for address in require_list(encoded, 'k')[:MAX_REPORTED_STORES]
    )
