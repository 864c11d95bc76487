"""Tools/count_results.py: what a run says about its failed tests."""

import pathlib
import subprocess
import sys

import pytest

PROGRAM = pathlib.Path(__file__).resolve().parents[2] / "Tools" / "count_results.py"
TESTS = """
import pytest

@pytest.fixture
def broken():
    raise RuntimeError("no setup")

def test_sound():
    pass

def test_long():
    assert False, "\\n".join(["x" * 400] * 40)

def test_setup(broken):
    pass

def test_listed():
    assert False, "known"
"""
CTEST = """<testsuite>
<testcase name="Unit" time="1.5" status="fail"><failure message=""/><system-out>[ RUN ] Unit
a.cpp:3: Failure
[NON-XML-CHAR-0x1B][31mValue of: y[NON-XML-CHAR-0x1B][0m</system-out></testcase>
<testcase name="Hangs" time="1.5" status="fail"><failure message=""/><system-out/></testcase>
<testcase name="Sound" time="1.5" status="run"><system-out>Failure is not an option</system-out></testcase>
</testsuite>
"""


@pytest.fixture
def messages(tmp_path):
    """By the line of each failed test: the lines after it."""
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "unit.xml").write_text(CTEST)
    (tmp_path / "red.txt").write_text("test_listed | 1 | seen | cause | 1\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--color=yes"]
    subprocess.run([*command, "--junit-xml=it.xml", "test_it.py"], cwd=tmp_path, timeout=60,
                   capture_output=True, check=False)
    done = subprocess.run([sys.executable, PROGRAM, "red.txt", "it.xml", "unit.xml"], cwd=tmp_path,
                          timeout=60, capture_output=True, text=True, check=False)
    assert done.returncode == 1
    *lines, counts = done.stdout.splitlines()
    assert counts == "2 passed, 4 failed"
    found = {}
    for line in lines:
        if line.startswith("    "):
            found[list(found)[-1]].append(line.strip())
        else:
            found[line] = []
    return found


def test_messages_of_failed_tests_are_shown(messages):
    """Guards against a failure in CI of which nothing but the name is known."""
    place, error = messages["failed: test_setup"]
    assert place.startswith("test_it.py:") and error.endswith("RuntimeError: no setup")
    assert messages["failed: Unit"] == ["a.cpp:3: Failure", "Value of: y"]
    assert messages["failed: Hangs"] == ["no message, after 1.5 s"]


def test_messages_are_short(messages):
    """Guards against one failed test that fills the end of the output."""
    lines = messages["failed: test_long"]
    assert len(lines) == 20
    assert max(len(line) for line in lines) <= 200


def test_listed_tests_are_shown_by_their_line(messages):
    """Guards against messages of known failures that hide those of new ones."""
    assert messages["known red, failed: test_listed | 1 | seen | cause | 1"] == []
