"""Starts a deployment of the brief as processes on loopback: stand-ins for all that is outside,
entry instances, and between the regions the proxy with the deployment's delay and rate.

Used by the demo and by the integration tests.
"""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent

INSCRIPTION_ENGINE = {"batch_limit": 8, "step_base_ms": 12, "step_per_sequence_ms": 1,
                      "prefill_tokens_per_second": 6000, "kv_limit_tokens": 24000,
                      "load_lag_ms": 500}
HOTLINE_ENGINE = {"batch_limit": 12, "step_base_ms": 10, "step_per_sequence_ms": 0.7,
                  "prefill_tokens_per_second": 10000, "kv_limit_tokens": 60000,
                  "load_lag_ms": 500}

# Numbers of the brief, "Sizes of today". The first region has two of the four entry instances.
SHAPES = {
    "otaru": {
        "regions": ["sapporo", "asahikawa", "hakodate"],
        "delay_ms": 55, "megabits": 140,
        "model": "inscription", "engines_per_region": 4, "engine": INSCRIPTION_ENGINE,
        "service": "order-desk", "services_per_region": 1, "checks_fences": True,
        "directory_customer": "town-office",
    },
    "caroni": {
        "regions": ["north", "central", "south"],
        "delay_ms": 55, "megabits": 2000,
        "model": "hotline", "engines_per_region": 3, "engine": HOTLINE_ENGINE,
        "service": "dispatch-desk", "services_per_region": 1, "checks_fences": False,
        "directory_customer": "call-takers",
    },
}


def http(method, address, path, body=None, headers=None, timeout=10):
    """One call; (status, body text). Raises OSError when nothing answers."""
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Child:
    """A process that prints one line of JSON when it is up."""

    def __init__(self, command, log):
        self.log = open(log, "ab")
        self.process = subprocess.Popen([str(word) for word in command], stdout=subprocess.PIPE,
                                        stderr=self.log)
        line = self.process.stdout.readline()
        if not line:
            self.stop()
            raise RuntimeError(f"{command[0]} did not start: {pathlib.Path(log).read_text()}")
        self.addresses = json.loads(line)

    @property
    def pid(self):
        return self.process.pid

    def freeze(self):
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self):
        os.kill(self.pid, signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self, patience=10):
        """Asks it to end; its exit status, -9 when it had to be killed."""
        if self.process.poll() is None:
            self.thaw()
            self.process.terminate()
            try:
                self.process.wait(patience)
            except subprocess.TimeoutExpired:
                self.process.kill()
        status = self.process.wait()
        self.process.stdout.close()
        self.log.close()
        return status


class StandIns(Child):
    """One process of stand-ins, started from a scenario."""

    def __init__(self, build, folder, name, scenario):
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(scenario))
        super().__init__([build / "bin" / "laburnumchute-standins", path],
                         pathlib.Path(folder) / f"{name}.log")

    def control(self, method, path, body=None):
        status, text = http(method, self.addresses["control"], path, body)
        if status != 200:
            raise RuntimeError(f"{method} {path}: {status} {text}")
        return json.loads(text)

    def faults(self, stand_in, **changes):
        return self.control("POST", f"/faults/{stand_in}", changes)

    def link(self, name, **changes):
        return self.control("POST", f"/links/{name}", changes)

    def records(self, times=False):
        return self.control("GET", "/record" + ("?times=true" if times else ""))


class Gateway(Child):
    """One entry instance."""

    def __init__(self, build, folder, name, region, platform, settings=()):
        self.name = name
        self.region = region
        any_port = "127.0.0.1:0"
        command = [build / "bin" / "laburnumchute", "gateway", f"--instance-id={name}",
                   f"--region={region}", f"--failure-domain={region}-1",
                   f"--http-address={any_port}", f"--operator-address={any_port}",
                   f"--gossip-address={any_port}", f"--channel-address={any_port}",
                   f"--configuration-service={platform['configuration']}",
                   f"--instance-list={platform['instances']}",
                   f"--weight-store={platform['weights']}", *settings]
        super().__init__(command, pathlib.Path(folder) / f"{name}.log")


class Deployment:
    """A whole deployment. A context manager: leaving it ends all that it started."""

    def __init__(self, shape, build, gateways=True, gateway_settings=(), engine_overrides=None,
                 separate_engines=False, configuration=None, weights=None):
        self.name = shape
        self.shape = SHAPES[shape]
        self.build = pathlib.Path(build)
        self.with_gateways = gateways
        self.gateway_settings = gateway_settings
        self.engine_overrides = engine_overrides or {}
        self.separate_engines = separate_engines
        self.weights = weights or {}
        self.configuration = configuration or json.loads(
            (ROOT / "examples" / f"{shape}.json").read_text())
        self.children = []
        self.endpoints = []
        self.endpoint_hosts = {}
        self.gateways = []

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory()
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        # Together: an instance that shuts down gracefully takes its time.
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.thaw()
                gateway.process.terminate()
        for child in reversed(self.children):
            child.stop()
        self.folder.cleanup()

    def _start(self):
        self._start_platform()
        for region in self.shape["regions"]:
            self._start_endpoints(region)
        if self.with_gateways:
            self._start_gateways()

    def _link(self, left, right):
        """The link between two regions, and whether its forward direction starts at the right."""
        first, second = sorted([left, right], key=self.shape["regions"].index)
        return f"{first}-{second}", first != left

    def _start_platform(self):
        regions = self.shape["regions"]
        links = {self._link(left, right)[0]: {"delay_ms": self.shape["delay_ms"],
                                              "megabits": self.shape["megabits"]}
                 for left in regions for right in regions if left != right}
        scenario = {"configuration": {"number": 1, "content": self.configuration},
                    "instances": {"lag_ms": 500}, "directory": {}, "weights": self.weights,
                    "links": links}
        self.platform = StandIns(self.build, self.folder.name, "platform", scenario)
        self.children.append(self.platform)

    def add_proxy(self, name, kind, target, viewer_region, target_region):
        link, reversed_ = self._link(viewer_region, target_region)
        return self.platform.control("POST", "/proxies", {
            "id": name, "kind": kind, "target": target, "link": link,
            "reversed": reversed_})["address"]

    def _weight_store(self, region):
        home = self.shape["regions"][0]
        address = self.platform.addresses["weights"]
        if region == home:
            return address
        return self.add_proxy(f"weights@{region}", "tcp", address, region, home)

    def _adapters(self, region):
        """Adapters of each engine of a region, as the configuration places them."""
        placed = self.configuration["placements"]["models"][self.shape["model"]]
        held = [[] for _ in range(self.shape["engines_per_region"])]
        turn = 0
        for adapter, runners in placed.get("adapters", {}).items():
            for _ in range(runners.get(region, 0)):
                held[turn % len(held)].append(adapter)
                turn += 1
        return held

    def _start_endpoints(self, region):
        store = self._weight_store(region)
        adapters = self._adapters(region)
        engines = [{"id": f"{region}-engine-{i + 1}", "models": [self.shape["model"]],
                    "adapters": adapters[i], "weight_store": store,
                    "checks_fences": self.shape["checks_fences"], **self.shape["engine"],
                    **self.engine_overrides}
                   for i in range(self.shape["engines_per_region"])]
        services = [{"id": f"{region}-{self.shape['service']}-{i + 1}"}
                    for i in range(self.shape["services_per_region"])]
        groups = [{"engines": engines, "services": services}]
        if self.separate_engines:
            groups = [{"engines": [engine]} for engine in engines] + [{"services": services}]
        for number, scenario in enumerate(groups):
            child = StandIns(self.build, self.folder.name, f"endpoints-{region}-{number}", scenario)
            self.children.append(child)
            for kind, name in (("engine", self.shape["model"]), ("service", self.shape["service"])):
                for endpoint in scenario.get(f"{kind}s", []):
                    self.endpoint_hosts[endpoint["id"]] = child
                    self.endpoints.append({
                        "id": endpoint["id"], "kind": kind, "name": name, "region": region,
                        "failure_domain": f"{region}-1",
                        "http": child.addresses[endpoint["id"]], "state": "live",
                        "checks_fences": self.shape["checks_fences"]})

    def _start_gateways(self):
        regions = self.shape["regions"]
        places = [regions[0], *regions]
        for number, region in enumerate(places):
            gateway = Gateway(self.build, self.folder.name, f"{self.name}-{number + 1}", region,
                              self.platform.addresses, self.gateway_settings)
            self.children.append(gateway)
            self.gateways.append(gateway)
        self.publish_instances()
        entries = [gateway.addresses["http"] for gateway in self.gateways]
        customers = self.configuration["customers"]
        self.platform.control("POST", "/directory", {name: entries for name in customers})
        self.wait_until_ready()

    def instance(self, gateway):
        """An instance as the list tells it, with the addresses at which other regions see it."""
        via = {}
        for viewer in self.gateways:
            if viewer.region == gateway.region:
                continue
            name = f"{viewer.name}>{gateway.name}"
            via[viewer.name] = {
                "gossip": self.add_proxy(name + "/gossip", "udp", gateway.addresses["gossip"],
                                         viewer.region, gateway.region),
                "channel": self.add_proxy(name + "/channel", "tcp", gateway.addresses["channel"],
                                          viewer.region, gateway.region)}
        return {"id": gateway.name, "region": gateway.region,
                "failure_domain": f"{gateway.region}-1", "http": gateway.addresses["http"],
                "gossip": gateway.addresses["gossip"], "channel": gateway.addresses["channel"],
                "state": "live", "via": via}

    def publish_instances(self):
        self.instances = [self.instance(gateway) for gateway in self.gateways]
        self.publish_list()

    def publish_list(self):
        self.platform.control("POST", "/instances",
                              {"instances": self.instances, "endpoints": self.endpoints})

    def wait_until_ready(self, patience=20):
        """Until each instance answers a whole model call of its own region's callers."""
        deadline = time.monotonic() + patience
        token = next(iter(self.configuration["customers"].values()))["bearer_tokens"][0]
        for gateway in self.gateways:
            last = None
            while True:
                last = self._probe(gateway, token)
                if last == 200:
                    break
                if gateway.process.poll() is not None or time.monotonic() > deadline:
                    log = (pathlib.Path(self.folder.name) / f"{gateway.name}.log").read_text()
                    raise RuntimeError(f"{gateway.name} is not ready ({last}): {log[-3000:]}")
                time.sleep(0.1)

    def _probe(self, gateway, token):
        body = {"model": self.shape["model"], "prompt": "ready?", "max_tokens": 1}
        try:
            return http("POST", gateway.addresses["http"], "/v1/completions", body,
                        {"Authorization": f"Bearer {token}",
                         "Content-Type": "application/json"})[0]
        except OSError as error:
            return str(error)

    def controls(self):
        """Control ports whose records say what ran."""
        return sorted({child.addresses["control"] for child in self.endpoint_hosts.values()})

    def clear_records(self):
        for child in set(self.endpoint_hosts.values()):
            child.control("POST", "/record/clear", {})

    def runs(self, request_id):
        """All runs of a caller's request on any endpoint: (endpoint id, record)."""
        found = []
        for child in set(self.endpoint_hosts.values()):
            for name, record in child.records().items():
                for run in record.get("runs", []):
                    if run["request_id"] == request_id or run["request_id"].startswith(
                            request_id + "."):
                        found.append((name, run))
        return found


def default_build():
    return pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "Build"))
