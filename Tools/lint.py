"""Runs clang-tidy on files that have not passed it before. Usage: lint.py BUILD JOBS FILE...

A file is passed over when it passed with the same contents of all files that it includes, the same
command, .clang-tidy and version of clang-tidy. Contents are taken whole instead of preprocessed, as
checks also look at comments, macros and conditionals. Files that passed are kept by their digests
in the folder laburnumchute/lint of the user's cache; what failed is checked each time.
"""

import concurrent.futures
import contextlib
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache")
PASSED = CACHE / "laburnumchute" / "lint"
KEPT_SECONDS = 30 * 24 * 3600
#: clang 14 needs to be told that the standard library's coroutines may be used with this Boost.
EXTRA = ["-DBOOST_ASIO_HAS_CO_AWAIT", "-DBOOST_ASIO_HAS_STD_COROUTINE",
         "-Wno-unknown-warning-option"]


@functools.lru_cache(maxsize=None)
def digest_of_state(path, _modified, _size):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def digest_of(path):
    state = os.stat(path)
    return digest_of_state(str(path), state.st_mtime_ns, state.st_size)


def included_files(entry):
    """The file and all that it includes, as clang-tidy would find them; None if that fails."""
    words = shlex.split(entry["command"])
    flags = words[next(i for i, word in enumerate(words) if word.startswith("-")):]
    output = flags.index("-o")
    del flags[output:output + 2]
    # clang-tidy defines this macro too.
    command = ["clang++", *flags, *EXTRA, "-D__clang_analyzer__", "-w", "-M", "-MT", "x"]
    done = subprocess.run(command, cwd=entry["directory"], capture_output=True, text=True,
                          check=False)
    if done.returncode != 0:
        return None
    names = done.stdout.replace("\\\n", " ").split()[1:]
    return [os.path.normpath(os.path.join(entry["directory"], name)) for name in names]


def key_of(file, entry, version):
    """What the result depends on; None if that is not known. The place of the checkout does not
    count."""
    files = included_files(entry) if entry else None
    if files is None:
        return None
    files += [one for one in (folder / ".clang-tidy" for folder in file.parents) if one.exists()]
    parts = [version, entry["command"], *EXTRA]
    parts += [f"{one} {digest_of(one)}" for one in files]
    return hashlib.sha256("\n".join(parts).replace(str(ROOT), "").encode()).hexdigest()


def lint(file, entry, version, build):
    """Whether the file passes, and whether that was known before."""
    key = key_of(file, entry, version)
    if key and (PASSED / key).exists():
        with contextlib.suppress(OSError):
            (PASSED / key).touch()
        return True, True
    command = ["clang-tidy", "--quiet", "-p", build, *(f"--extra-arg={one}" for one in EXTRA)]
    done = subprocess.run([*command, str(file)], cwd=ROOT, capture_output=True,
                          text=True, check=False)
    sys.stdout.write(done.stdout)
    sys.stderr.write(done.stderr)
    passed = done.returncode == 0
    # Not if a file was changed meanwhile.
    if passed and not done.stdout and key and key == key_of(file, entry, version):
        with contextlib.suppress(OSError):
            (PASSED / key).touch()
    return passed, False


def main(build, jobs, *names):
    with contextlib.suppress(OSError):
        PASSED.mkdir(parents=True, exist_ok=True)
        for one in PASSED.iterdir():
            if one.stat().st_mtime < time.time() - KEPT_SECONDS:
                one.unlink()
    build = pathlib.Path(build).resolve()
    entries = {one["file"]: one
               for one in json.loads((build / "compile_commands.json").read_text())}
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True,
                             check=True).stdout
    files = [pathlib.Path(name).resolve() for name in names]
    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        results = list(pool.map(
            lambda file: lint(file, entries.get(str(file)), version, str(build)), files))
    known = sum(1 for _, before in results if before)
    failed = sum(1 for passed, _ in results if not passed)
    print(f"lint: {len(files)} files, {known} passed before, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
