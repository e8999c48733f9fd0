"""Build the resource API of a control daemon without a network."""

from types import MappingProxyType

from arbutusbay.control import ControlSettings, ControlState
from arbutusbay.control._resource_api import ResourceApi
from arbutusbay.settings import NodeSettings, PlatformSettings
from arbutusbay.state import ConfigState, Pool, Resource, ResourceId

WATCH_PATH = '/api/v1/watch'


def build_control_state() -> ControlState:
    """Return the state of a daemon that has one pool in its configuration."""
    pool_id = ResourceId(kind='pool', name='p')
    pool = Resource(
        id=pool_id, spec=Pool(model='m', weights_version='v1'), version=1
    )
    return ControlState(
        settings=ControlSettings(
            node=NodeSettings(id='vm-1', host='127.0.0.1', zone='hann'),
            platform=PlatformSettings(log_url='http://l', vms_url='http://v'),
        ),
        incarnation=1,
        config=ConfigState(
            offset=1, resources=MappingProxyType({pool_id: pool})
        ),
        config_known=True,
    )


def build_resource_api(shared_state: ControlState) -> ResourceApi:
    """Return an API that reads ``shared_state`` and writes nothing."""
    return ResourceApi(shared_state=shared_state, log=None, session=None)
