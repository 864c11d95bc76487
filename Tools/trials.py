#!/usr/bin/env python3
"""Plays days of deployments with several seeds each and prints their worth with its spread.

The program that plays a day is given by its path. It is run in a checkout of this repository, a
scratch copy where arms with other options of the decisions are compared, since they are set in the
copy's deploy/system.toml. Processor time is not charged, so that a play mostly repeats.

    Tools/trials.py PROGRAM --checkout COPY --site A.toml --site B.toml \\
        --arm base= --arm no-notices=notice-tokens=1000000000 --why "what is expected"
"""

import argparse
import concurrent.futures
import glob
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tomllib

RUN_LINE = re.compile(r'^(run = "target/bin/laburnumchute relay[^"]*?)( --decisions=[^"]*)?"', re.M)


def seed_of(number):
    """Spread, so that neighbouring seeds have nothing in common."""
    return number * 7919 + 13


def set_arm(checkout, options):
    path = checkout / "deploy" / "system.toml"
    flag = f" --decisions={options}" if options else ""
    text = path.read_text(encoding="utf-8")
    changed, count = RUN_LINE.subn(lambda m: f'{m[1]}{flag}"', text)
    if count != 1:
        sys.exit(f"{path}: no line to set the options of the decisions in")
    path.write_text(changed, encoding="utf-8")


def days_of(site, wanted):
    with open(site, "rb") as handle:
        days = tomllib.load(handle)["day"]
    if wanted == ["all"]:
        return [day["name"] for day in days]
    if wanted:
        return wanted
    return [day["name"] for day in days if day["slot"] != "quiet"]


def play(program, checkout, site, day, seed, why, vary):
    command = [program, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    command += ["--why", why] + (["--vary"] if vary else [])
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    found = re.search(r"^snapshot (\w+)", done.stdout, re.M)
    if not found:
        return {"site": site, "day": day, "seed": seed, "error": (done.stdout + done.stderr)[-400:]}
    entry = glob.glob(str(checkout / "journal" / f"*-{found[1]}.json"))[0]
    with open(entry, encoding="utf-8") as handle:
        result = json.load(handle)["days"][0]
    return {
        "site": pathlib.Path(site).stem,
        "day": day,
        "seed": seed,
        "worth": result["G"] or 0.0,
        "prices": sum(row[2] or 0 for row in result["prices"]),
        "refused": result["refused"],
        "failed": result["failed"],
        "parts": {name: value for name, _, value in result["parts"]},
        "rules": result["rules"],
        "fault": result["fault"],
    }


def describe(results):
    worth = [result["worth"] for result in results]
    spread = statistics.stdev(worth) if len(worth) > 1 else 0.0
    mean = {key: statistics.mean(result[key] for result in results)
            for key in ("prices", "refused", "failed")}
    parts = {name: statistics.mean(result["parts"][name] for result in results)
             for name in results[0]["parts"]}
    text = f"{statistics.mean(worth):.3f} +-{spread:.3f}"
    text += "".join(f" {name.split()[-1]} {value:.3f}" for name, value in parts.items())
    return text + "".join(f" {name} {value:.3f}" for name, value in mean.items())


def report(arm, results):
    good = [result for result in results if "error" not in result]
    for site in dict.fromkeys(result["site"] for result in good):
        here = [result for result in good if result["site"] == site]
        for day in dict.fromkeys(result["day"] for result in here):
            print(f"{arm:16} {site:22} {pathlib.Path(day).stem[:18]:18}",
                  describe([result for result in here if result["day"] == day]))
        print(f"{arm:16} {site:22} {'mean':18}", describe(here))
    for result in results:
        if result.get("error") or result.get("rules") or result.get("fault"):
            print(f"{arm}: {result}")
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("--checkout", type=pathlib.Path, required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--day", action="append", default=[],
                        help="names of days or files; all: also the quiet ones")
    parser.add_argument("--vary", action="store_true", help="vary times and figures of a day file")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--arm", action="append", metavar="NAME=OPTIONS", default=[])
    parser.add_argument("--why", default="")
    arguments = parser.parse_args()
    for arm in arguments.arm or ["base="]:
        name, _, options = arm.partition("=")
        set_arm(arguments.checkout, options)
        subprocess.run([arguments.program, "build"], cwd=arguments.checkout, check=True,
                       capture_output=True)
        why = f"{name} ({options or 'no option set'}): {arguments.why}"
        plays = [(site, day, seed_of(number)) for site in arguments.site
                 for day in days_of(site, arguments.day)
                 for number in range(1, arguments.seeds + 1)]
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            results = list(pool.map(
                lambda each: play(arguments.program, arguments.checkout, *each, why,
                                  arguments.vary), plays))
        report(name, results)
    set_arm(arguments.checkout, "")


if __name__ == "__main__":
    main()
