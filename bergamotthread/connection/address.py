"""Addresses of processes: an IP address and a port."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

from bergamotthread.errors import BergamotError, Step

MAX_PORT = 65_535


class AddressError(BergamotError):
    """Text is not an IP address and a port."""


@dataclass(frozen=True)
class Address:
    """IP address and port of one end of a connection."""

    ip: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse an address.

        Parameters
        ----------
        text
            Such as ``10.0.0.7:7001`` or ``[2001:db8::7]:7001``; port 0 lets
            the operating system choose.

        Raises
        ------
        AddressError
            If the host part is not an IP address, or the port is missing or out
            of range.
        """
        host, separator, port = text.rpartition(':')
        if not separator:
            raise _invalid(text, 'a port after the IP number')
        return cls(ip=_parse_ip(text, host), port=_parse_port(text, port))

    @property
    def is_loopback(self) -> bool:
        """Return whether the address is reachable only from this host."""
        return self.ip.is_loopback

    @property
    def is_ipv6(self) -> bool:
        """Return whether the IP address is of version 6."""
        return isinstance(self.ip, ipaddress.IPv6Address)

    def __str__(self) -> str:
        host = f'[{self.ip}]' if self.is_ipv6 else str(self.ip)
        return f'{host}:{self.port}'


def _parse_ip(
    text: str,
    host: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        if bracketed:
            return ipaddress.IPv6Address(host[1:-1])
        return ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _invalid(text, 'an IP number, not a host name') from error


def _parse_port(text: str, port: str) -> int:
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or int(port) > MAX_PORT:
        raise _invalid(text, f'a port from 0 to {MAX_PORT}')
    return int(port)


def _invalid(text: str, expected: str) -> AddressError:
    return AddressError(
        f'address {text!r}: expected {expected}, '
        'such as 127.0.0.1:7001 or [::1]:7001',
        step=Step.SETTINGS,
    )
