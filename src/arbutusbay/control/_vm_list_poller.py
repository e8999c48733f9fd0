"""Poll the platform's list of VMs."""

import asyncio

import aiohttp
from result import Err, Ok

from arbutusbay.control._shared_state import ControlState
from arbutusbay.controller import Controller
from arbutusbay.hosting import VM, VMRole, VMState, fetch_vm_list
from arbutusbay.logs import get_logger

_LOG = get_logger('vm_watch')


class VMListPoller(Controller):
    """Keep the shared copy of the VM list; keep the last one on errors."""

    shared_state: ControlState
    session: aiohttp.ClientSession

    async def step(self) -> None:
        """Fetch the list once, then wait for the poll interval."""
        settings = self.shared_state.settings
        match await fetch_vm_list(self.session, settings.platform.vms_url):
            case Ok(vms):
                store_vm_list(self.shared_state, vms)
            case Err(failure):
                _LOG.warning('{}', failure.detail)
        await asyncio.sleep(settings.membership.vm_list_ms / 1000)


def store_vm_list(shared_state: ControlState, vms: list[VM]) -> None:
    """Store the VM list and notify routers if the leaving VMs changed."""
    shared_state.live_hosts_by_vm = {
        vm.id: vm.host
        for vm in vms
        if vm.role is VMRole.ENTRY and vm.state is VMState.LIVE
    }
    leaving = frozenset(vm.host for vm in vms if vm.state is VMState.LEAVING)
    if leaving != shared_state.leaving_hosts:
        shared_state.leaving_hosts = leaving
        shared_state.config_changed.notify()
