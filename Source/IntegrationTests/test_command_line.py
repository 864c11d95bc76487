"""The command line of the program, as an operator meets it."""

import os
import pathlib
import subprocess

BUILD = pathlib.Path(os.environ["BUILD_DIR"])


def run(*arguments):
    return subprocess.run([BUILD / "bin" / "laburnumchute", *arguments],
                          capture_output=True, text=True, timeout=20, check=False)


def test_unknown_setting_gives_one_clear_line_and_status_2():
    done = run("gateway", "--no-such-setting=1")
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert "--no-such-setting" in done.stderr
