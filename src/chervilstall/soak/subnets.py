"""Loopback addresses of soak runs, so that runs at the same time share none.

Listeners share their ports with others at the same address. Two runs there would answer
each other's requests.
"""

import errno
import socket

SUBNET_COUNT = 10_000
CLAIM_NUMBER = 254
CLAIM_PORT = 61_000
"""Port that a run binds in its subnet; none that the kernel chooses by itself."""


def subnet_host(subnet: int, number: int) -> str:
    """Return the address of a subnet with `number` as its last octet.

    >>> subnet_host(251, 7)
    '127.101.2.7'
    """
    return f"127.{100 + subnet // 250}.{1 + subnet % 250}.{number}"


def claim_subnet(first: int) -> tuple[int, socket.socket]:
    """Return a subnet that no other run uses, and the socket that holds it.

    Subnets from `first` on are tried. Close the socket at the end of the run.
    """
    for offset in range(SUBNET_COUNT):
        subnet = (first + offset) % SUBNET_COUNT
        claim = socket.socket()
        try:
            claim.bind((subnet_host(subnet, CLAIM_NUMBER), CLAIM_PORT))
        except OSError as error:
            claim.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return subnet, claim
    raise RuntimeError("every subnet is in use")
