"""Ports for the processes of a deployment."""

import random
import socket

KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
BLOCK = 20
#: First ports of the blocks, below the range from which the kernel takes free ports.
BLOCKS = range(20000, 30000, BLOCK)

#: A socket for each block in use, by first port. It is bound to the block's last port, which no
#: deployment uses. Instances leave their ports while they are restarted; the socket keeps other
#: workers and other test runs on the machine from choosing the block meanwhile.
_reservations = {}


def free_ports(addresses, count):
    """The first of some ports in a row that are free on all addresses, also for datagrams. No other
    process gets them until release_ports(), or until this process ends."""
    assert count < BLOCK
    for first in random.sample(BLOCKS, len(BLOCKS)):
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", first + BLOCK - 1))
        except OSError:
            reservation.close()
            continue
        if _are_free(addresses, range(first, first + count)):
            _reservations[first] = reservation
            return first
        reservation.close()
    raise RuntimeError("no free ports")


def release_ports(first):
    """To be called when the processes have ended."""
    _reservations.pop(first).close()


def _are_free(addresses, ports):
    taken = []
    try:
        for port in ports:
            for address in addresses:
                for kind in KINDS:
                    taken.append(socket.socket(type=kind))
                    taken[-1].bind((address, port))
        return True
    except OSError:
        return False
    finally:
        for one in taken:
            one.close()
