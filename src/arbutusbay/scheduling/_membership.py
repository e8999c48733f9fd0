"""Hold one view of the VMs of the fleet: who is there, silent, or gone.

A VM is known by its record in the store and by its reports. It leaves by itself
when it stops. One that is silent for long enough counts as gone: it is dropped
here, and its record may be removed from the store.
"""

from collections.abc import Mapping

import attrs

from arbutusbay.fleet import VMRegistration
from arbutusbay.scheduling._report_recipients import remote_silence_limit_s

_SILENCE_LIMIT_S = 3.0
# Longer than a VM may be suspended or cut off and still return.
_GONE_AFTER_S = 60.0
_MAX_CHECK_INTERVAL_S = 2.0


@attrs.define(kw_only=True)
class Member:
    """Hold another VM, when it was heard last, and whether it stops.

    ``last_heard_s`` is when its last report arrived, or when it became known.
    """

    vm: VMRegistration
    last_heard_s: float
    has_left: bool = False


class Membership:
    """Track the VMs of the fleet as one of them, ``own_vm``, sees it.

    Times are in seconds on the clock of this VM. ``members`` holds the other
    VMs by name. ``records`` holds the records that the store had at the last
    read, None before the first; ``gone`` holds those of them whose VMs are
    gone. ``last_check_s`` is when silence was checked last.
    """

    def __init__(self, *, own_vm: VMRegistration | None = None) -> None:
        """Create the view of a VM that knows no other one yet."""
        self.own_vm = own_vm
        self.members: dict[str, Member] = {}
        self.records: Mapping[str, VMRegistration] | None = None
        self.gone: dict[str, VMRegistration] = {}
        self.last_check_s: float | None = None

    @property
    def own_name(self) -> str:
        """Return the name of this VM, empty if it is not known yet."""
        return self.own_vm.name if self.own_vm else ''

    @property
    def own_zone(self) -> str:
        """Return the zone of this VM, empty if it is not known yet."""
        return self.own_vm.zone if self.own_vm else ''

    def record_report(
        self, name: str, now_s: float, *, is_leaving: bool = False
    ) -> bool:
        """Record a report of a VM; return whether the VM was known before."""
        member = self.members.get(name)
        if member is None:
            return name == self.own_name
        member.last_heard_s = now_s
        member.has_left = is_leaving
        return True

    def discover(
        self, vm: VMRegistration, now_s: float, *, is_leaving: bool = False
    ) -> None:
        """Add a VM that has reported and was not known before."""
        self.gone.pop(vm.name, None)
        self.members[vm.name] = Member(
            vm=vm, last_heard_s=now_s, has_left=is_leaving
        )

    def apply_records(
        self, records: Mapping[str, VMRegistration], now_s: float
    ) -> None:
        """Apply all records that the store has.

        The record of a VM that is gone brings it back only if it has started
        since.
        """
        self.records = records
        self.gone = {
            name: vm
            for name, vm in self.gone.items()
            if records.get(name) == vm
        }
        for name, vm in records.items():
            if name != self.own_name and name not in self.gone:
                self._apply_record(vm, now_s)

    def check_silence(self, now_s: float) -> set[str]:
        """Drop the VMs that are gone, and return their names.

        This must be called at least every ``_MAX_CHECK_INTERVAL_S`` seconds: a
        longer time counts as one in which this VM did not run, and that shows
        nothing about the others.
        """
        self._discount_pause(now_s)
        silent = self.silent(now_s)
        gone = {
            name
            for name, member in self.members.items()
            if now_s - member.last_heard_s > _GONE_AFTER_S
            or (member.has_left and name in silent)
        }
        for name in gone:
            self.members.pop(name)
            record = (self.records or {}).get(name)
            if record is not None:
                self.gone[name] = record
        return gone

    def vms(self) -> dict[str, VMRegistration]:
        """Return all known VMs by name, this one included."""
        vms = {name: member.vm for name, member in self.members.items()}
        if self.own_vm is not None:
            vms[self.own_name] = self.own_vm
        return vms

    def silent(self, now_s: float) -> set[str]:
        """Return the names of the VMs that have not reported for too long.

        VMs of other zones may be silent for longer in a large fleet.
        """
        own_zone = {
            name
            for name, member in self.members.items()
            if member.vm.zone == self.own_zone
        }
        remote_limit_s = remote_silence_limit_s(
            _SILENCE_LIMIT_S,
            zone_vms=len(own_zone) + 1,
            remote_vms=len(self.members) - len(own_zone),
        )
        return {
            name
            for name in self.members.keys()
            - self.heard_since(now_s - _SILENCE_LIMIT_S)
            if name in own_zone
            or now_s - self.members[name].last_heard_s > remote_limit_s
        }

    def unheard_vms(self, now_s: float) -> dict[str, VMRegistration]:
        """Return the VMs that are silent, or gone but have a record."""
        silent = self.silent(now_s)
        return {
            **self.gone,
            **{name: self.members[name].vm for name in silent},
        }

    def absent(self, now_s: float) -> set[str]:
        """Return the names of the VMs that are silent or stop."""
        leaving = {
            name for name, member in self.members.items() if member.has_left
        }
        return self.silent(now_s) | leaving

    def live(self, now_s: float) -> set[str]:
        """Return the names of the VMs that are there, this one included."""
        live = self.members.keys() - self.absent(now_s)
        return live | {self.own_name} if self.own_vm else live

    def heard_since(self, since_s: float) -> set[str]:
        """Return the names of the other VMs that reported after ``since_s``."""
        return {
            name
            for name, member in self.members.items()
            if member.last_heard_s > since_s
        }

    def hears_others(self, now_s: float) -> bool:
        """Return whether any other VM has reported lately.

        A VM that hears none may be cut off.
        """
        return bool(self.live(now_s) - {self.own_name})

    def removable_records(self, now_s: float) -> list[str]:
        """Return the names of the VMs whose records should be removed.

        None are if this VM hears no other one, as it may be cut off itself.
        """
        return sorted(self.gone) if self.hears_others(now_s) else []

    def share_count(self) -> int | None:
        """Return by how many VMs a limit of the fleet is divided.

        Those that are silent may only be cut off, and use their share. None
        means that the fleet is not known yet.
        """
        if self.records is None:
            return None
        staying = [
            member for member in self.members.values() if not member.has_left
        ]
        return len(staying) + 1

    def _apply_record(self, vm: VMRegistration, now_s: float) -> None:
        member = self.members.get(vm.name)
        if member is None:
            self.members[vm.name] = Member(vm=vm, last_heard_s=now_s)
            return
        known_ms = member.vm.started_ms
        if known_ms and known_ms != vm.started_ms:
            member.has_left = False
            member.last_heard_s = now_s
        member.vm = vm

    def _discount_pause(self, now_s: float) -> None:
        """Count no time as silence in which this VM did not run itself."""
        last_check_s = self.last_check_s
        self.last_check_s = now_s
        if last_check_s is None:
            return
        pause_s = now_s - last_check_s
        if pause_s <= _MAX_CHECK_INTERVAL_S:
            return
        for member in self.members.values():
            member.last_heard_s = min(now_s, member.last_heard_s + pause_s)
