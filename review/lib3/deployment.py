"""Starts gateways with the command of the deploy file, and callers; keeps the record of a script."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from http_io import read_message, request_bytes

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
PROGRAM = "target/hawthorndrum-gateway"
HOST = "desk.example"
# The bounds of sites/hearthwell-fleet.toml.
SETTINGS = """host: {name}
data_centre: z1
callers: "127.0.0.1:{callers}"
readiness: "127.0.0.1:{ready}"
notices: "127.0.0.1:{notices}"
store: "127.0.0.1:{store}"
stop_grace: 8s
leaving_known_within: 2000ms
file_limit: 4100
memory: 260MiB
retries:
  ratio: 0.2
  reserve: 56
  window: 10s
"""


def free_ports(count):
    taken = [socket.socket() for _ in range(count)]
    for each in taken:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in taken]
    for each in taken:
        each.close()
    return ports


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


class Gateway:
    def __init__(self, name, store_port, folder, extra=""):
        self.name = name
        self.callers, self.ready, self.notices = free_ports(3)
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=name, callers=self.callers, ready=self.ready,
                                       notices=self.notices, store=store_port) + extra)
        self.process = None

    def start(self):
        environment = {"HAWTHORNDRUM_SETTINGS": self.settings, "PATH": os.environ["PATH"]}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, PROGRAM)], stdout=log, stderr=log,
                                            env=environment, cwd=ROOT)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(request_bytes("GET", "/api/ready", [("Host", "x")]))
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message.words[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a caller got: a status, or 0 if the connection ended without a whole answer."""

    def __init__(self, machine, request, sent, status, headers, body, ended):
        self.machine, self.request, self.sent, self.status = machine, request, sent, status
        self.headers, self.body, self.ended = headers, body, ended


class Caller:
    """Sends one request after another on a kept connection, by PROTOCOL.md."""

    def __init__(self, gateway, name):
        self.gateway, self.name, self.count = gateway, name, 0
        self.reader = self.writer = None

    def next_id(self):
        self.count += 1
        return "%s-%d" % (self.name, self.count)

    async def send(self, method, target, limit_ms, headers=(), body=b""):
        request = self.next_id()
        sent = time.monotonic()
        status, got_headers, got_body = 0, [], b""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", self.gateway.callers)
            fields = [("Host", HOST), ("X-Hawthorndrum-Request-Id", request),
                      ("X-Hawthorndrum-Deadline-Ms", str(limit_ms))] + list(headers)
            self.writer.write(request_bytes(method, target, fields, body))
            message = await asyncio.wait_for(read_message(self.reader), limit_ms / 1000 + 1)
            if message is None:
                self.close()
            else:
                status = int(message.words[1])
                got_headers, got_body = message.headers, message.body
                if message.header("Connection").lower() == "close":
                    self.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
        return Answer(self.gateway.name, request, sent, status, got_headers, got_body,
                      time.monotonic())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def temporary_folder():
    return tempfile.mkdtemp(prefix="review-")


def write_all(record, answers, workers):
    """Records what was sent, answered and run."""
    for each in sorted(answers, key=lambda answer: answer.sent):
        record("sent %s to %s at %.3f, answered %d at %.3f" % (
            each.request, each.machine, each.sent - record.start, each.status,
            each.ended - record.start))
    for worker in workers:
        for at, request in worker.began:
            record("%s (%s) ran %s at %.3f" % (worker.name, worker.service, request,
                                               at - record.start))


def run_case(main):
    """Exits with main's code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except SystemExit:
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    print("exit code %d: %s" % (code, ["rule held", "rule broken", "could not run"][code]))
    sys.exit(code)
