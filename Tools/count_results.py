"""Adds up JUnit reports and prints "N passed, N failed".

A test named in KNOWN-RED.txt (first field of a line, up to the first ' | ') is printed and counted
apart: its failure does not fail the run, its success says that the line can go. Lines that name no
test of the reports are printed as they stand.
Exit status: 0 when nothing failed and something passed, else 1.
"""

import pathlib
import sys
import xml.etree.ElementTree


def known_red(path):
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    return {line.split(" | ")[0]: line for line in lines}


def outcomes(path):
    for case in xml.etree.ElementTree.parse(path).iter("testcase"):
        failed = any(case.find(tag) is not None for tag in ("failure", "error"))
        skipped = case.find("skipped") is not None
        yield case.get("name"), "failed" if failed else "skipped" if skipped else "passed"


def commands_of(red, names):
    """The lines that name a command instead of one of the tests that ran."""
    return [line for name, line in red.items() if name not in names]


def main(arguments):
    red = known_red(pathlib.Path(arguments[0]))
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    names = set()
    for report in arguments[1:]:
        if not pathlib.Path(report).exists():
            print(f"no report {pathlib.Path(report).name}: its runner did not finish")
            counts["failed"] += 1
            continue
        for name, outcome in outcomes(report):
            names.add(name)
            if name in red:
                print(f"known red, {outcome}: {red[name]}")
                continue
            if outcome == "failed":
                print(f"failed: {name}")
            counts[outcome] += 1
    for line in commands_of(red, names):
        print(f"known red, not run here: {line}")
    skipped = f", {counts['skipped']} skipped" if counts["skipped"] else ""
    print(f"{counts['passed']} passed, {counts['failed']} failed{skipped}")
    return 0 if counts["failed"] == 0 and counts["passed"] > 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
