"""Ports for the processes of a deployment."""

import random
import socket

KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


def free_ports(addresses, count):
    """The first of some ports in a row that are free on all addresses, also for datagrams."""
    for first in random.sample(range(20000, 30000, 20), 400):
        taken = []
        try:
            for port in range(first, first + count):
                for address in addresses:
                    for kind in KINDS:
                        taken.append(socket.socket(type=kind))
                        taken[-1].bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for one in taken:
                one.close()
    raise RuntimeError("no free ports")
