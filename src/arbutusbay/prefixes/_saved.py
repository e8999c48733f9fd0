"""Know which prefixes the stores have, from the saves of all VMs.

A save moves the whole prompt, so a prefix that was saved a moment ago is not
saved again. VMs report what they saved to each other. A report that is lost,
late or wrong costs a transfer, or a read in another engine.
"""

import enum
from collections.abc import Iterable

import attrs
import xxhash

# Stores drop what was last used longer ago only under much load.
_TTL_S = 20.0
# A report repeats what was learned in this time, as datagrams get lost.
_REPORTED_S = 1.0
_MAX_ENTRIES = 8192
MAX_REPORTED = 64
MAX_PREFIX_HASH = 0xFFFFFFFF


class Origin(enum.Enum):
    """Name where a save was made."""

    OWN = 'own'
    ZONE = 'zone'
    OTHER_ZONE = 'other zone'


@attrs.frozen(kw_only=True)
class SavedReport:
    """Hold the hashes of prefixes that were saved recently.

    ``saved`` are those of the sender, or of its zone where it speaks for it,
    ``relayed`` those of other zones. ``dead_stores`` are the addresses of the
    stores that the sender found dead.
    """

    saved: tuple[int, ...] = ()
    relayed: tuple[int, ...] = ()
    dead_stores: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class _Entry:
    learned_s: float
    origin: Origin


class SavedPrefixes:
    """Remember the prefixes that were saved recently.

    An entry that is known is not renewed, so that no two VMs can keep it alive
    by reporting it to each other.
    """

    def __init__(self) -> None:
        """Start without any; ``entries`` are in the order of learning."""
        self.entries: dict[int, _Entry] = {}

    def is_saved(self, key: str, now_s: float) -> bool:
        """Return whether a store likely has the prefix named ``key``."""
        entry = self.entries.get(hash_prefix(key))
        return entry is not None and now_s - entry.learned_s < _TTL_S

    def record(self, key: str, now_s: float) -> None:
        """Record a save that this VM asked for."""
        self._learn((hash_prefix(key),), Origin.OWN, now_s)

    def merge(
        self, report: SavedReport, now_s: float, *, is_own_zone: bool
    ) -> None:
        """Record what another VM reports."""
        origin = Origin.ZONE if is_own_zone else Origin.OTHER_ZONE
        self._learn(report.saved, origin, now_s)
        self._learn(report.relayed, Origin.OTHER_ZONE, now_s)

    def clear(self) -> None:
        """Forget all saves, as the stores are others now."""
        self.entries.clear()

    def recent(
        self, origins: frozenset[Origin], now_s: float
    ) -> tuple[int, ...]:
        """Return the newest saves of ``origins``, to report them."""
        recent: list[int] = []
        for prefix_hash, entry in reversed(self.entries.items()):
            if now_s - entry.learned_s > _REPORTED_S:
                break
            if entry.origin in origins:
                recent.append(prefix_hash)
        return tuple(recent[:MAX_REPORTED])

    def _learn(
        self, hashes: Iterable[int], origin: Origin, now_s: float
    ) -> None:
        for prefix_hash in hashes:
            known = self.entries.get(prefix_hash)
            if known is not None and now_s - known.learned_s < _TTL_S:
                continue
            self.entries.pop(prefix_hash, None)
            self.entries[prefix_hash] = _Entry(learned_s=now_s, origin=origin)
        self._drop_old(now_s)

    def _drop_old(self, now_s: float) -> None:
        while self.entries:
            oldest = next(iter(self.entries))
            is_old = now_s - self.entries[oldest].learned_s >= _TTL_S
            if not is_old and len(self.entries) <= _MAX_ENTRIES:
                return
            self.entries.pop(oldest)


def hash_prefix(key: str) -> int:
    """Return the hash by which VMs report the prefix named ``key``."""
    return xxhash.xxh64_intdigest(key.encode()) & MAX_PREFIX_HASH
