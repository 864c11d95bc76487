"""Tools/lint.py with clang-tidy: what passed is passed over, and nothing else."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

LINT = pathlib.Path(__file__).resolve().parents[2] / "Tools" / "lint.py"
CONFIGURATION = "Checks: '-*,modernize-use-nullptr'\nWarningsAsErrors: '*'\nHeaderFilterRegex: '.*'\n"
HEADER = "inline int *header() { return nullptr; }\n"
SOUND = '#include "a.h"\nint *pointer = 0; // NOLINT\n'


@pytest.fixture
def lint(tmp_path):
    (tmp_path / ".clang-tidy").write_text(CONFIGURATION)
    (tmp_path / "a.h").write_text(HEADER)
    (tmp_path / "a.cpp").write_text(SOUND)
    write_command(tmp_path)

    def run():
        environment = {**os.environ, "XDG_CACHE_HOME": str(tmp_path / "cache")}
        done = subprocess.run([sys.executable, LINT, tmp_path, "1", tmp_path / "a.cpp"],
                              env=environment, capture_output=True, text=True, timeout=120,
                              check=False)
        last = done.stdout.splitlines()[-1]
        assert done.returncode == (0 if last.endswith(" 0 failed") else 1), done.stderr
        return last.removeprefix("lint: 1 files, ")

    assert run() == "0 passed before, 0 failed"
    return run


def write_command(folder, flags=""):
    source = folder / "a.cpp"
    command = f"/usr/bin/c++ {flags} -std=c++20 -o a.o -c {source}"
    (folder / "compile_commands.json").write_text(
        json.dumps([{"directory": str(folder), "command": command, "file": str(source)}]))


def test_what_has_passed_is_passed_over(lint):
    """Guards against a cache that never matches."""
    assert lint() == "1 passed before, 0 failed"


def test_a_fault_is_found_each_time(lint, tmp_path):
    """Guards against a cache that keeps what failed."""
    (tmp_path / "a.cpp").write_text(SOUND.replace("0", "nullptr") + "int *other = 0;\n")
    assert [lint(), lint()] == ["0 passed before, 1 failed"] * 2
    (tmp_path / "a.cpp").write_text(SOUND)
    assert lint() == "1 passed before, 0 failed"


def test_a_comment_counts(lint, tmp_path):
    """Guards against a fault that shows when only its NOLINT is removed."""
    (tmp_path / "a.cpp").write_text(SOUND.replace(" // NOLINT", ""))
    assert lint() == "0 passed before, 1 failed"


def test_a_header_counts(lint, tmp_path):
    """Guards against a fault in a file that is only included."""
    (tmp_path / "a.h").write_text(HEADER.replace("nullptr", "0"))
    assert lint() == "0 passed before, 1 failed"


def test_the_checks_count(lint, tmp_path):
    """Guards against checks that are added and not run."""
    (tmp_path / ".clang-tidy").write_text(
        CONFIGURATION.replace("nullptr'", "nullptr,modernize-use-trailing-return-type'"))
    assert lint() == "0 passed before, 1 failed"


def test_the_command_counts(lint, tmp_path):
    """Guards against a flag that changes what is compiled."""
    write_command(tmp_path, "-DUNUSED")
    assert lint() == "0 passed before, 0 failed"
