"""Measures what a daemon adds to a request and to a token, as ratios within one run.

Starts the stand-ins and one daemon on the loopback address, sends the same open-loop load straight
to the stand-in and through the daemon in turns, and prints both with their ratios, the daemon's
processor time for each request and token, and the requests a second that one core would carry.
Nothing here runs for more than a few seconds; --rounds and --seconds bound the whole.
"""

import argparse
import json
import os
import socket
import subprocess
import tempfile
import time
import urllib.request

TOKEN = "path-overhead-admin-token"
SERVICES = {
    "stream": "service: stream\nmodel: oak-7b@1\nuseful_within: 20s\nlimits:\n"
    "  concurrency: 4000\n  requests_per_second: 100000\n  burst: 10000\n",
    "plain": "service: plain\npool: payments\nuseful_within: 20s\nlimits:\n"
    "  concurrency: 4000\n  requests_per_second: 100000\n  burst: 10000\n",
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
    """Returns the processor time that a process has used."""
    with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Fleet:
    """The stand-ins and one daemon."""

    def __init__(self, build, folder):
        self.build = build
        self.folder = folder
        self.processes = []
        names = ["store", "hosts", "engine", "worker", "callers", "peers", "admin"]
        self.address = dict(zip(names, free_addresses(len(names))))
        self.daemon = None

    def start(self, program, *arguments):
        log = open(os.path.join(self.folder, "log"), "ab")
        command = [os.path.join(self.build, program), *arguments]
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def run(self):
        at = self.address
        hosts = [
            {"address": at["engine"], "kind": "engine", "pool": "", "data_centre": "marlow",
             "state": "live", "checks_fencing": True, "incarnation": 1},
            {"address": at["worker"], "kind": "service", "pool": "payments",
             "data_centre": "marlow", "state": "live", "checks_fencing": False, "incarnation": 1},
        ]
        hosts_file = self.write("hosts.json", json.dumps({"hosts": hosts}))
        standin = "hawthorndrum-standin"
        self.start(standin, "object-store", "--listen", at["store"])
        self.start(standin, "host-list", "--listen", at["hosts"], "--hosts", hosts_file)
        self.start(standin, "engine", "--listen", at["engine"], "--model", "oak-7b:1",
                   "--prefill-rate", "100000000", "--decode-rate", "1000", "--streams", "2000")
        self.start(standin, "service", "--listen", at["worker"])
        for name, text in SERVICES.items():
            self.write("services/%s/hawthorndrum.yaml" % name, text)
        settings = self.write(
            "daemon.yaml",
            "data_centre: marlow\ncallers: %s\npeers: %s\nadmin: %s\nobject_api: %s\n"
            "host_list: %s\nadmin_token: %s\npeer_key: path-overhead-peer-key\n"
            % (at["callers"], at["peers"], at["admin"], at["store"], at["hosts"], TOKEN))
        self.daemon = self.start("hawthorndrumd", "--settings", settings)
        self.wait(lambda: urllib.request.urlopen("http://%s/_stats" % at["store"]).read())
        subprocess.run([os.path.join(self.build, "hawthorndrumctl"), "publish",
                        os.path.join(self.folder, "services"), "--store", at["store"]],
                       check=True, stdout=subprocess.DEVNULL)
        self.wait(lambda: self.load("callers", "stream", 10, 0.2)["whole"] > 0)
        self.wait(lambda: self.load("callers", "plain", 10, 0.2)["whole"] > 0)

    @staticmethod
    def wait(check):
        for _ in range(200):
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise SystemExit("the fleet did not come up")

    def load(self, target, kind, rate, seconds):
        through = target == "callers"
        if kind == "stream":
            path = "/services/stream/v1/chat/completions" if through else "/v1/chat/completions"
            more = ["--output-tokens", "16"]
        else:
            path = "/services/plain/x" if through else "/x"
            more = ["--plain"]
        command = [os.path.join(self.build, "hawthorndrum-standin"), "load", "--target",
                   self.address[target], "--path", path, "--rate", str(rate), "--seconds",
                   str(seconds), *more]
        run = subprocess.run(command, check=True, capture_output=True, timeout=120)
        return json.loads(run.stdout)

    def stop(self):
        for process in reversed(self.processes):
            process.kill()
            process.wait()


def median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def measure(fleet, kind, rate, seconds, rounds):
    direct_target = "engine" if kind == "stream" else "worker"
    rows = {"direct": [], "daemon": []}
    used = 0.0
    whole = 0
    for _ in range(rounds):
        rows["direct"].append(fleet.load(direct_target, kind, rate, seconds))
        before = cpu_seconds(fleet.daemon.pid)
        through = fleet.load("callers", kind, rate, seconds)
        used += cpu_seconds(fleet.daemon.pid) - before
        whole += through["whole"]
        rows["daemon"].append(through)
    result = {"kind": kind, "rate": rate, "rounds": rounds}
    for figure in ["first_byte", "total", "between_tokens"]:
        for quantile in ["p50_ms", "p95_ms"]:
            direct = median([row[figure][quantile] for row in rows["direct"]])
            daemon = median([row[figure][quantile] for row in rows["daemon"]])
            result["%s_%s" % (figure, quantile)] = {
                "direct": direct, "daemon": daemon,
                "ratio": round(daemon / direct, 3) if direct else None}
    result["whole"] = whole
    result["sent"] = sum(row["sent"] for row in rows["daemon"])
    result["cpu_us_per_request"] = round(1e6 * used / max(whole, 1), 1)
    result["requests_per_second_per_core"] = round(whole / used, 1) if used else None
    if kind == "stream":
        result["tokens_per_second_per_core"] = round(16 * whole / used, 1) if used else None
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--stream-rate", type=float, default=100)
    parser.add_argument("--plain-rate", type=float, default=1000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(arguments.build, folder)
        try:
            fleet.run()
            for kind, rate in [("stream", arguments.stream_rate), ("plain", arguments.plain_rate)]:
                result = measure(fleet, kind, rate, arguments.seconds, arguments.rounds)
                print(json.dumps(result, indent=1))
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
