"""Adds up JUnit reports and prints "N passed, N failed".

A test named in KNOWN-RED.txt (first field of a line, up to the first ' | ') is printed and counted
apart: its failure does not fail the run, its success says that the line can go. Lines that name no
test of the reports are printed as they stand. The first lines of what each other failed test reported
follow its name, indented.
Exit status: 0 when nothing failed and something passed, else 1.
"""

import pathlib
import re
import sys
import xml.etree.ElementTree

MESSAGE_LINES = 20
LINE_LENGTH = 200
INDENT = "    "
#: Colour codes, with the escape character as pytest and CTest write it into XML, and control characters.
UNPRINTABLE = re.compile(
    r"(?:\x1b|#x1B|\[NON-XML-CHAR-0x1B\])\[[0-9;]*m|[^\x20-\x7e\u00a0-\uffff]")


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
        outcome = "failed" if failed else "skipped" if skipped else "passed"
        yield case.get("name"), outcome, message_of(case) if failed else []


def message_of(case):
    """The first lines of what a failed test reported. pytest quotes source around the places of a
    failure and its lines of the error, which begin with "E"; only these two are kept. The report of CTest
    has the whole output of the test, which is shown from the first failure on."""
    lines = []
    for tag in ("failure", "error"):
        for found in case.iter(tag):
            text = (found.text or "").splitlines()
            places = [line for line in text if re.match(r"\S+:\d+: ", line)]
            errors = [line for line in text if line.startswith("E  ")]
            lines += places + errors if errors else [found.get("message") or "", *text]
    output = case.find("system-out")
    if output is not None and not any(line.startswith("E  ") for line in lines):
        text = (output.text or "").splitlines()
        begin = next((n for n, line in enumerate(text) if "Failure" in line), 0)
        lines += text[begin:]
    lines = [UNPRINTABLE.sub("", line).rstrip() for line in lines]
    lines = [line for line in lines if line] or [f"no message, after {case.get('time')} s"]
    return [INDENT + line[: LINE_LENGTH - len(INDENT)] for line in lines[:MESSAGE_LINES]]


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
        for name, outcome, message in outcomes(report):
            names.add(name)
            if name in red:
                print(f"known red, {outcome}: {red[name]}")
                continue
            if outcome == "failed":
                print("\n".join([f"failed: {name}", *message]))
            counts[outcome] += 1
    for line in commands_of(red, names):
        print(f"known red, not run here: {line}")
    skipped = f", {counts['skipped']} skipped" if counts["skipped"] else ""
    print(f"{counts['passed']} passed, {counts['failed']} failed{skipped}")
    return 0 if counts["failed"] == 0 and counts["passed"] > 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
