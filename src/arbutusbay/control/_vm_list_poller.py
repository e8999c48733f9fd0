"""Poll the platform's list of VMs."""

import asyncio

import aiohttp
from result import Err, Ok

from arbutusbay.control._shared_state import ControlState
from arbutusbay.controller import Controller
from arbutusbay.hosting import VMList, VMRole, VMState, fetch_vm_list
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
            case Ok(vm_list):
                store_vm_list(self.shared_state, vm_list)
            case Err(failure):
                _LOG.warning('{}', failure.detail)
        await asyncio.sleep(settings.membership.vm_list_ms / 1000)


def store_vm_list(shared_state: ControlState, vm_list: VMList) -> None:
    """Store the VM list and notify routers if the leaving VMs changed."""
    _log_problems(shared_state, vm_list.problems)
    shared_state.live_hosts_by_vm = {
        vm.id: vm.host
        for vm in vm_list.vms
        if vm.role is VMRole.ENTRY and vm.state is VMState.LIVE
    }
    leaving = frozenset(
        vm.host for vm in vm_list.vms if vm.state is VMState.LEAVING
    )
    if leaving != shared_state.leaving_hosts:
        shared_state.leaving_hosts = leaving
        shared_state.config_changed.notify()


def _log_problems(
    shared_state: ControlState, problems: tuple[str, ...]
) -> None:
    """Log the malformed entries of the list whenever they change."""
    if problems == shared_state.vm_list_problems:
        return
    shared_state.vm_list_problems = problems
    _LOG.warning(
        'entries of the list of VMs are malformed',
        fields={'count': len(problems), 'first': ''.join(problems[:1])},
    )
