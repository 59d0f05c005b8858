"""A fleet of real processes on the loopback address, for the measurement scripts.

Members are named store, hosts, engine-N, worker-N and daemon-N; a daemon's other ports are
daemon-N-peers and daemon-N-admin. Leaving the context ends all processes.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

TOKEN = "measuring-admin-token-1"
PEER_KEY = "measuring-peer-key-1234"

WIDE_LIMITS = "limits:\n  concurrency: 4000\n  requests_per_second: 100000\n  burst: 10000\n"
DEFAULT_SERVICES = {
    "stream": "service: stream\nmodel: oak-7b@1\nuseful_within: 20s\n" + WIDE_LIMITS,
    "plain": "service: plain\npool: payments\nuseful_within: 20s\n" + WIDE_LIMITS,
    "payments": "service: payments\npool: payments\nrepeatable: false\nlookup: /lookup\n"
    "useful_within: 10s\npriority: 8\n",
}


def free_addresses(count):
    """Returns `count` free loopback addresses, all held open until the last is chosen."""
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind(("127.0.0.1", 0))
    addresses = ["127.0.0.1:%d" % each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return addresses


def cpu_seconds(pid):
    """Returns the processor time used by a process, in seconds."""
    with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def call(address, path, body=None, headers=None, method=None, timeout=10):
    """Makes one HTTP call; returns (status, text). A lost connection raises OSError."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(
        "http://%s%s" % (address, path), data=data, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as answer:
        return answer.code, answer.read().decode()


class Fleet:
    """Platform stand-ins, upstreams and daemons of one data centre."""

    def __init__(self, build="build", daemons=1, engines=1, workers=1, engine_arguments=(),
                 worker_arguments=(), services=None, checks_fencing=True):
        self.build = build
        self.daemons = daemons
        self.engines = engines
        self.workers = workers
        self.engine_arguments = list(engine_arguments)
        self.worker_arguments = list(worker_arguments)
        self.services = services or DEFAULT_SERVICES
        self.checks_fencing = checks_fencing
        self.processes = {}
        self.folder = tempfile.TemporaryDirectory()
        names = ["store", "hosts"]
        names += ["engine-%d" % i for i in range(engines)]
        names += ["worker-%d" % i for i in range(workers)]
        for i in range(daemons):
            names += ["daemon-%d%s" % (i, port) for port in ["", "-peers", "-admin"]]
        self.address = dict(zip(names, free_addresses(len(names))))

    def __enter__(self):
        self.write("hosts.json", json.dumps({"hosts": self.hosts()}))
        for name, text in self.services.items():
            self.write("services/%s/hawthorndrum.yaml" % name, text)
        for name in ["store", "hosts"]:
            self.start(name)
        for i in range(self.engines):
            self.start("engine-%d" % i)
        for i in range(self.workers):
            self.start("worker-%d" % i)
        for i in range(self.daemons):
            self.write("daemon-%d.yaml" % i, self.settings(i))
            self.start("daemon-%d" % i)
        self.wait(lambda: self.stats("store") is not None)
        subprocess.run([os.path.join(self.build, "hawthorndrumctl"), "publish",
                        self.path("services"), "--store", self.address["store"]],
                       check=True, stdout=subprocess.DEVNULL)
        return self

    def __exit__(self, *unused):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.folder.cleanup()

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def write(self, name, text):
        os.makedirs(os.path.dirname(self.path(name)), exist_ok=True)
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)

    def hosts(self):
        entries = []

        def add(name, kind, pool, address, checks_fencing):
            entries.append({"address": address, "kind": kind, "pool": pool,
                            "data_centre": "marlow", "state": "live",
                            "checks_fencing": checks_fencing, "incarnation": 1})

        for i in range(self.engines):
            add("engine", "engine", "", self.address["engine-%d" % i], self.checks_fencing)
        for i in range(self.workers):
            add("worker", "service", "payments", self.address["worker-%d" % i], False)
        for i in range(self.daemons):
            add("daemon", "daemon", "", self.address["daemon-%d-peers" % i], False)
        return entries

    def settings(self, index):
        name = "daemon-%d" % index
        return ("data_centre: marlow\ncallers: %s\npeers: %s\nadmin: %s\nobject_api: %s\n"
                "host_list: %s\nadmin_token: %s\npeer_key: %s\nseed_peers: [%s]\n"
                "lease_duration: 3s\nstop_grace: 200ms\n"
                % (self.address[name], self.address[name + "-peers"],
                   self.address[name + "-admin"], self.address["store"], self.address["hosts"],
                   TOKEN, PEER_KEY, self.address["daemon-0-peers"]))

    def start(self, name):
        log = open(self.path(name + ".log"), "ab")
        command = [os.path.join(self.build, word) if i == 0 else word
                   for i, word in enumerate(self.command(name))]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def command(self, name):
        if name.startswith("daemon"):
            return ["hawthorndrumd", "--settings", self.path(name + ".yaml")]
        standin = ["hawthorndrum-standin"]
        listen = ["--listen", self.address[name]]
        if name == "store":
            return standin + ["object-store"] + listen
        if name == "hosts":
            return standin + ["host-list"] + listen + ["--hosts", self.path("hosts.json")]
        if name.startswith("engine"):
            fencing = [] if self.checks_fencing else ["--ignores-fencing"]
            return (standin + ["engine"] + listen + ["--model", "oak-7b:1"] + fencing +
                    self.engine_arguments)
        return standin + ["service"] + listen + ["--name", name] + self.worker_arguments

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def fault(self, name, **switches):
        call(self.address[name], "/_fault", json.dumps(switches))

    def stats(self, name):
        try:
            return json.loads(call(self.address[name], "/_stats", timeout=2)[1])
        except (OSError, ValueError):
            return None

    def admin(self, index, path):
        headers = {"Authorization": "Bearer " + TOKEN}
        return json.loads(call(self.address["daemon-%d-admin" % index], path,
                               headers=headers)[1])

    def metrics(self, index):
        """Returns a daemon's metrics as a map from series to value."""
        text = call(self.address["daemon-%d-admin" % index], "/metrics")[1]
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1])
                for line in text.splitlines()}

    def load(self, address, path, rate, seconds, *more):
        """Runs the load tool and returns its result."""
        command = [os.path.join(self.build, "hawthorndrum-standin"), "load", "--target", address,
                   "--path", path, "--rate", str(rate), "--seconds", str(seconds), *more]
        run = subprocess.run(command, check=True, capture_output=True, timeout=300)
        return json.loads(run.stdout)

    @staticmethod
    def wait(check, timeout_s=30):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise SystemExit("the fleet did not become ready in time")

    def wait_until_serving(self):
        for i in range(self.daemons):
            address = self.address["daemon-%d" % i]
            self.wait(lambda a=address: self.load(
                a, "/services/stream/v1/chat/completions", 10, 0.1)["whole"] > 0)
