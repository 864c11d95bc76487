"""Ports of deployments that run at the same time."""

import pathlib
import subprocess
import sys

import pytest

import ports

FOLDER = pathlib.Path(__file__).parent
ADDRESSES = ["127.0.0.77"]


def taken_by_another_process():
    """The block that another process gets of those in use here; None if it gets none."""
    code = f"import ports; ports.BLOCKS = {ports.BLOCKS}; print(ports.free_ports({ADDRESSES}, 12))"
    done = subprocess.run([sys.executable, "-c", code], cwd=FOLDER, capture_output=True, text=True,
                          timeout=60, check=False)
    if done.returncode != 0:
        assert "no free ports" in done.stderr
        return None
    return int(done.stdout)


def test_ports_of_instances_that_are_down_are_given_to_no_other_process(monkeypatch):
    """Guards against a worker whose deployment gets the ports of another worker's while that one's
    instances are being restarted and listen nowhere."""
    taken = [ports.free_ports(ADDRESSES, 12) for _ in range(2)]
    monkeypatch.setattr(ports, "BLOCKS", list(taken))
    try:
        assert taken_by_another_process() is None
        with pytest.raises(RuntimeError, match="no free ports"):
            ports.free_ports(ADDRESSES, 12)
        released = taken.pop()
        ports.release_ports(released)
        assert taken_by_another_process() == released
    finally:
        for first in taken:
            ports.release_ports(first)
