"""Parses network addresses (IP:PORT)."""

import ipaddress

from samphirepost import errors

PORT_MAX = 65_535
_PORT_DIGITS_MAX = 5


def parse(text):
    """Returns the host and the port of an address, or a Failure.

    The host is an IPv4 number: names are not looked up.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return _failure(text)
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _PORT_DIGITS_MAX:
        return _failure(text)
    if not 0 < int(port) <= PORT_MAX:
        return _failure(text)
    return host, int(port)


def _failure(text):
    return errors.Failure(
        errors.Kind.BAD_REQUEST, f"not an address (IP:PORT): {text[:80]!r}"
    )
