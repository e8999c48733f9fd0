"""Parse the addresses of listeners, VMs and backend servers.

The platform has IPv4 only, and no name lookups.
"""

import ipaddress
import re

import attrs

from arbutusbay.checked_values import MalformedValueError, describe_value

MAX_PORT = 65_535
_PORT_PATTERN = re.compile('[1-9][0-9]{0,4}')


@attrs.frozen(kw_only=True)
class Endpoint:
    """Locate a listener by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint written as ``IP:PORT``.

    Raise ``MalformedValueError`` unless it is an IPv4 address and a port
    from 1 on, both in the usual decimal form.
    """
    host, _, port = text.rpartition(':')
    is_port = _PORT_PATTERN.fullmatch(port) and int(port) <= MAX_PORT
    if is_port and _parse_ip(host) is not None:
        return Endpoint(host=host, port=int(port))
    raise MalformedValueError(
        f'address: must be IP:PORT, not {describe_value(text)}'
    )


def parse_remote_endpoint(text: str) -> Endpoint:
    """Parse the endpoint of one other machine.

    Raise ``MalformedValueError`` also for an address that names no machine
    or many.
    """
    endpoint = parse_endpoint(text)
    ip = ipaddress.IPv4Address(endpoint.host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise MalformedValueError(f'address: {text} is not that of one machine')
    return endpoint


def _parse_ip(host: str) -> ipaddress.IPv4Address | None:
    try:
        return ipaddress.IPv4Address(host)
    except ValueError:
        return None
