"""Measures how one gateway's memory, processor time, control bytes and the spread of a configuration
grow with the number of instances in its region and of endpoints it knows; fits lines; prints tables.

Real processes on loopback, idle but for their control work. Usage:
    capacity.py [--instances 4,8,16,32] [--endpoints 12,48,96] [--listed 0,1000,4000,10000]
                [--seconds 10] [--build FOLDER]
The instances each run on one thread for callers, so that hundreds of threads do not hide the cost.
"""

import argparse
import json
import pathlib
import resource
import subprocess
import sys
import tempfile
import time

from deployment import Gateway, HOTLINE_ENGINE, ROOT, StandIns, http

REGION = "north"
CLOCK_TICKS = 100
WARM_UP_SECONDS = 6


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_megabytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no VmRSS")


def median(values):
    return sorted(values)[len(values) // 2]


def fit(points):
    """Least squares: intercept and slope of y over x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


class Region:
    """Gateways of one region with a platform and engines; ends all that it started."""

    def __init__(self, build, instances, endpoints, listed=0):
        self.build = build
        self.listed = listed
        self.count = instances
        self.endpoint_count = endpoints
        self.children = []

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory()
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        # Each gateway would drain for seconds on its own; there are no callers to be spared.
        for child in reversed(self.children):
            child.kill()
            child.stop()
        self.folder.cleanup()

    def _start(self):
        self.content = json.loads((ROOT / "examples" / "caroni.json").read_text())
        self.platform = StandIns(self.build, self.folder.name, "platform", {
            "configuration": {"number": 1, "content": self.content},
            "instances": {"lag_ms": 500}, "directory": {}, "weights": {}})
        self.children.append(self.platform)
        names = [f"engine-{number}" for number in range(self.endpoint_count)]
        engines = StandIns(self.build, self.folder.name, "engines", {
            "engines": [{"id": name, "models": ["hotline"], **HOTLINE_ENGINE} for name in names]})
        self.children.append(engines)
        self.gateways = []
        for number in range(self.count):
            gateway = Gateway(self.build, self.folder.name, f"gateway-{number}", REGION,
                              self.platform.addresses, ["--threads=1"])
            self.children.append(gateway)
            self.gateways.append(gateway)
        instances = [{"id": gateway.name, "region": REGION, "failure_domain": f"{REGION}-1",
                      "http": gateway.addresses["http"], "gossip": gateway.addresses["gossip"],
                      "channel": gateway.addresses["channel"], "state": "live"}
                     for gateway in self.gateways]
        endpoints = [{"id": name, "kind": "engine", "name": "hotline", "region": REGION,
                      "failure_domain": f"{REGION}-1", "http": engines.addresses[name],
                      "state": "live", "checks_fences": False} for name in names]
        # Endpoints of another region: in the list that each instance reads, but not polled by it.
        elsewhere = [{"id": f"far-engine-{number}", "kind": "engine", "name": "hotline",
                      "region": "south", "failure_domain": "south-1",
                      "http": f"127.0.0.1:{1 + number}", "state": "live", "checks_fences": False}
                     for number in range(self.listed)]
        truth = {"instances": instances, "endpoints": endpoints + elsewhere}
        self.list_kilobytes = len(json.dumps(truth)) / 1000
        self.platform.control("POST", "/instances", truth)

    def numbers(self):
        found = []
        for gateway in self.gateways:
            text = http("GET", gateway.addresses["operator"], "/dump")[1]
            found.append(json.loads(text)["platform"]["configuration_number"])
        return found

    def wait_for(self, number, patience=60):
        deadline = time.monotonic() + patience
        while set(self.numbers()) != {number}:
            if time.monotonic() > deadline:
                raise RuntimeError(f"version {number} is not in force everywhere")

    def reads(self):
        return self.platform.records()["configuration"]["reads"]

    def spread_seconds(self, number):
        """From the publication until a look at all gateways finds it in force; the look's own time
        is in it, so this is an upper bound."""
        self.content["limits"]["retry_share"] = 0.1 + number / 1000
        start = time.monotonic()
        self.platform.control("POST", "/publish", {"follows": number, "content": self.content})
        self.wait_for(number + 1)
        return time.monotonic() - start

    def measure(self, seconds):
        self.wait_for(1)
        time.sleep(WARM_UP_SECONDS)
        pids = [gateway.pid for gateway in self.gateways]
        before = [processor_seconds(pid) for pid in pids]
        reads = self.reads()
        start = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - start
        used = [processor_seconds(pid) - old for pid, old in zip(pids, before)]
        read_rate = (self.reads() - reads) / elapsed
        return {"instances": self.count, "endpoints": self.endpoint_count,
                "listed_elsewhere": self.listed, "list_kilobytes": self.list_kilobytes,
                "core_percent": 100 * median(used) / elapsed,
                "core_percent_most": 100 * max(used) / elapsed,
                "megabytes": median([resident_megabytes(pid) for pid in pids]),
                "configuration_reads_per_second": read_rate,
                "spread_seconds": max(self.spread_seconds(number) for number in (1, 2, 3))}


def document(customers, regions=31, domains=123, models=5, runners=10000):
    """A configuration of the size expected in two years, but for the number of customers."""
    names = [f"region-{number}" for number in range(regions)]
    placed = {name: runners // (regions * models) for name in names}
    return {
        "schema": 1,
        "regions": {name: {"failure_domains": [f"domain-{number}"
                                               for number in range(index, domains, regions)]}
                    for index, name in enumerate(names)},
        "default_link": {"one_way_delay_ms": 55, "megabits_per_second": 2000},
        "priorities": {"first": {"level": 0}, "second": {"level": 1}},
        "residency_rules": {"anywhere": {"regions": "any"}, "home": {"regions": "home"}},
        "customers": {f"customer-{number}": {
            "share": 1, "highest_priority": "first",
            "bearer_tokens": [f"token-of-customer-{number}-{'0' * 24}"],
            "default_residency": "home" if number % 5 == 0 else "anywhere"}
            for number in range(customers)},
        "models": {f"model-{number}": {"version": "1", "adapters": ["a", "b"],
                                       "context_limit_tokens": 8192} for number in range(models)},
        "routes": {f"route-{number}-{kind}": {
            "path": path, "model": f"model-{number}", "priority": "second",
            "residency": "anywhere", "deadline_ms": 20000}
            for number in range(models)
            for kind, path in (("chat", "/v1/chat/completions"), ("text", "/v1/completions"))},
        "placements": {"models": {f"model-{number}": {"runners": placed}
                                  for number in range(models)}},
    }


def check_seconds(build, path, times):
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([build / "bin" / "laburnumchute", "check", *[path] * times],
                   check=True, stdout=subprocess.DEVNULL)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def measure_document(build, customers, folder):
    """Bytes of a document and processor time to read and validate it once."""
    path = pathlib.Path(folder) / "document.json"
    path.write_text(json.dumps(document(customers)))
    few, many = 1, 41
    spent = check_seconds(build, path, many) - check_seconds(build, path, few)
    return path.stat().st_size, 1000 * spent / (many - few)


def print_documents(build):
    print("\nReading and validating a configuration (31 regions, 5 models)\n")
    print("| customers | kilobytes | milliseconds |\n|---|---|---|")
    points = []
    with tempfile.TemporaryDirectory() as folder:
        for customers in (80, 320, 640, 1280, 2560):
            size, cost = measure_document(build, customers, folder)
            points.append((customers, size / 1000, cost))
            print(f"| {customers} | {size / 1000:.1f} | {cost:.2f} |")
    for index, name in ((1, "kilobytes"), (2, "milliseconds")):
        start, slope = fit([(point[0], point[index]) for point in points])
        print(f"fit: {name} = {start:.2f} + {slope:.5f} * customers (range 80 to 2560)")


COLUMNS = ["instances", "endpoints", "listed_elsewhere", "list_kilobytes",
           "core_percent", "core_percent_most", "megabytes",
           "configuration_reads_per_second", "spread_seconds"]


def print_table(title, rows):
    print(f"\n{title}\n")
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for row in rows:
        print("| " + " | ".join(f"{row[name]:.2f}" if isinstance(row[name], float)
                                else str(row[name]) for name in COLUMNS) + " |")


def print_fits(variable, rows):
    for name in ("core_percent", "megabytes", "list_kilobytes",
                 "configuration_reads_per_second"):
        start, slope = fit([(row[variable], row[name]) for row in rows])
        low, high = rows[0][variable], rows[-1][variable]
        print(f"fit: {name} = {start:.3f} + {slope:.5f} * {variable} (range {low} to {high})")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="4,8,16,32")
    parser.add_argument("--endpoints", default="12,48,96")
    parser.add_argument("--listed", default="0,1000,4000,10000")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "Build")
    options = parser.parse_args()

    def run(instances, endpoints, listed=0):
        with Region(options.build, instances, endpoints, listed) as region:
            row = region.measure(options.seconds)
        print(json.dumps(row), file=sys.stderr, flush=True)
        return row

    print_documents(options.build)
    by_instances = [run(int(count), 9) for count in options.instances.split(",")]
    by_endpoints = [run(4, int(count)) for count in options.endpoints.split(",")]
    by_listed = [run(4, 9, int(count)) for count in options.listed.split(",")]
    print_table("By instances in one region (9 endpoints)", by_instances)
    print_fits("instances", by_instances)
    print_table("By endpoints (4 instances)", by_endpoints)
    print_fits("endpoints", by_endpoints)
    print_table("By endpoints of other regions in the list (4 instances, 9 endpoints)", by_listed)
    print_fits("listed_elsewhere", by_listed)


if __name__ == "__main__":
    main()
