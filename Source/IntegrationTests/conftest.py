"""Fixtures of the integration tests: real processes on loopback ports that are picked free."""

import os
import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tools"))
sys.path.insert(0, str(ROOT / "platform" / "tests"))

from deployment import Deployment, StandIns  # noqa: E402

BUILD = pathlib.Path(os.environ["BUILD_DIR"])


def pytest_configure(config):
    config.addinivalue_line("markers", "alone: Tools/test.sh runs no other test beside it")


@pytest.fixture
def stand_ins(tmp_path):
    """Starts processes of stand-ins from scenarios; all end with the test."""
    started = []

    def start(scenario):
        child = StandIns(BUILD, tmp_path, f"stand-ins-{len(started)}", scenario)
        started.append(child)
        return child

    yield start
    for child in started:
        child.stop()


@pytest.fixture(scope="module")
def otaru():
    """The engraving works with its four entry instances; shared by a module's tests, which leave
    it as they found it."""
    with Deployment("otaru", BUILD) as deployment:
        yield deployment
