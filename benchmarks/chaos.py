"""Sends payments and streams through a fleet while injecting faults (kills, pauses, slow and lost
answers, role changes), then checks the invariants.

  python3 benchmarks/chaos.py --seed 1 --seconds 60

The seed determines the faults, but not their interleaving with the load. The exit code is 0 only if
no invariant was violated. Each violation is printed with its key or question.
"""

import argparse
import collections
import http.client
import json
import random
import signal
import socket
import sys
import threading
import time

import fleet

DAEMONS = 3
ENGINES = 3
WORKERS = 2
QUESTIONS = ["route %d" % i for i in range(6)]
STREAM_TOKENS = 60
FAULT_PAUSE = 1.2


class Payments:
    """Sends payments, each key one to three times, and records every answer."""

    def __init__(self, served, seed):
        self.served = served
        self.random = random.Random(seed)
        self.answers = collections.defaultdict(list)

    def send(self, key):
        daemon = "daemon-%d" % self.random.randrange(DAEMONS)
        headers = {"Idempotency-Key": key, "X-Request-Deadline-Ms": "4000"}
        try:
            status, text = fleet.call(self.served.address[daemon], "/services/payments/pay",
                                      json.dumps({"order": key}), headers, timeout=15)
        except (OSError, http.client.HTTPException):
            self.answers[key].append(("lost", None))
            return
        if status == 200:
            self.answers[key].append(("answered", text))
            return
        outcome = "unknown"
        try:
            outcome = json.loads(text).get("outcome", "unknown")
        except ValueError:
            pass
        self.answers[key].append((outcome, text))

    def run(self, name, stop):
        number = 0
        while not stop.is_set():
            key = "%s-%d" % (name, number)
            number += 1
            for _ in range(self.random.choice([1, 2, 3])):
                self.send(key)
            time.sleep(0.02)


class Streams:
    """Requests streams and resumes at a random daemon when a stream is cut."""

    def __init__(self, served, expected, seed):
        self.served = served
        self.expected = expected
        self.random = random.Random(seed)
        self.whole = 0
        self.refused = 0
        self.cut = 0
        self.breaches = []

    def run(self, stop):
        while not stop.is_set():
            self.ask(self.random.choice(QUESTIONS))
            time.sleep(0.02)

    def ask(self, question):
        tokens = []
        last_id = None
        for _ in range(6):
            end, last_id = self.read_stream(question, tokens, last_id)
            text = "".join(tokens)
            if not self.expected[question].startswith(text):
                self.breaches.append("%s: tokens that are not a prefix of the answer: %r"
                                     % (question, text))
                return
            if end == "done":
                self.whole += 1
                if text != self.expected[question]:
                    self.breaches.append("%s: a complete stream with a partial answer: %r"
                                         % (question, text))
                return
            if end == "refused":
                self.refused += 1
                return
            if end == "clean end":
                self.breaches.append("%s: a stream that ended cleanly without [DONE]" % question)
                return
            self.cut += 1

    def read_stream(self, question, tokens, last_id):
        daemon = self.served.address["daemon-%d" % self.random.randrange(DAEMONS)]
        status, body, whole = raw_post(daemon, "/services/stream/v1/chat/completions",
                                       json.dumps(question_body(question, True)), last_id)
        if status is None:
            return "cut", last_id
        if status != 200:
            return "refused", last_id
        for event in body.split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
            data = fields.get("data", "")
            if data == "[DONE]":
                return "done", last_id
            text = json.loads(data)
            if "choices" not in text:
                return "error event", last_id
            tokens.append(text["choices"][0]["delta"].get("content", ""))
            last_id = fields.get("id", last_id)
        return ("clean end" if whole else "cut"), last_id


def raw_post(address, path, body, last_id):
    """Posts over a new socket; returns (status, body received, whether the answer was complete)."""
    host, port = address.split(":")
    head = ("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            "Content-Length: %d\r\nConnection: close\r\n" % (path, address, len(body)))
    if last_id is not None:
        head += "Last-Event-ID: %s\r\n" % last_id
    received = b""
    try:
        with socket.create_connection((host, int(port)), timeout=15) as connection:
            connection.sendall((head + "\r\n" + body).encode())
            while part := connection.recv(65536):
                received += part
    except OSError:
        pass
    if b"\r\n\r\n" not in received:
        return None, "", False
    head, rest = received.split(b"\r\n\r\n", 1)
    status = int(head.split()[1])
    if b"transfer-encoding: chunked" not in head.lower():
        return status, rest.decode(), True
    return (status, *dechunk(rest))


def dechunk(rest):
    """Returns the text of all complete chunks, and whether the last chunk arrived."""
    text = b""
    while b"\r\n" in rest:
        size_text, rest = rest.split(b"\r\n", 1)
        size = int(size_text, 16)
        if size == 0:
            return text.decode(), True
        if len(rest) < size + 2:
            break
        text += rest[:size]
        rest = rest[size + 2:]
    return text.decode(), False


def question_body(question, stream):
    return {"model": "oak-7b", "stream": stream, "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": question}]}


def expected_answers(served):
    answers = {}
    for question in QUESTIONS:
        text = fleet.call(served.address["engine-0"], "/v1/chat/completions",
                          json.dumps(question_body(question, False)))[1]
        answers[question] = json.loads(text)["choices"][0]["message"]["content"]
    return answers


class Faults:
    """Injects random faults one after another; every fault is temporary."""

    def __init__(self, served, seed):
        self.served = served
        self.random = random.Random(seed)
        self.log = []
        self.kept_runs = collections.Counter()
        self.cut_streams = 0
        self.conflicts = 0

    def run(self, seconds):
        end = time.monotonic() + seconds
        kinds = [self.kill_daemon, self.freeze_daemon, self.stop_daemon, self.kill_engine,
                 self.freeze_engine, self.store_down, self.store_slow, self.store_loses_answers,
                 self.store_writes_late, self.worker_loses_answers, self.worker_slow,
                 self.change_role]
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.log.append(kind.__name__)
            kind()
            time.sleep(FAULT_PAUSE * self.random.random())

    def random_name(self, kind, count):
        return "%s-%d" % (kind, self.random.randrange(count))

    def sleep_up_to(self, longest):
        time.sleep(longest * self.random.random())

    def kill_daemon(self):
        name = self.random_name("daemon", DAEMONS)
        self.served.kill(name)
        self.sleep_up_to(2)
        self.served.start(name)

    def stop_daemon(self):
        name = self.random_name("daemon", DAEMONS)
        self.served.processes[name].send_signal(signal.SIGTERM)
        self.served.processes[name].wait(timeout=90)
        self.served.start(name)

    def freeze_daemon(self):
        name = self.random_name("daemon", DAEMONS)
        self.served.processes[name].send_signal(signal.SIGSTOP)
        self.sleep_up_to(6)
        self.served.processes[name].send_signal(signal.SIGCONT)

    def record_engine_stats(self, name):
        stats = self.served.stats(name)
        if stats:
            self.cut_streams += stats["cut_streams"]
            self.conflicts += stats["conflicting_orders"] + stats["stale_orders_taken"]

    def kill_engine(self):
        name = self.random_name("engine", ENGINES)
        self.record_engine_stats(name)
        self.served.kill(name)
        self.sleep_up_to(2)
        self.served.start(name)

    def freeze_engine(self):
        name = self.random_name("engine", ENGINES)
        self.served.processes[name].send_signal(signal.SIGSTOP)
        self.sleep_up_to(3)
        self.served.processes[name].send_signal(signal.SIGCONT)

    def store_fault(self, longest, **switches):
        self.served.fault("store", **switches)
        self.sleep_up_to(longest)
        self.served.fault("store")

    def store_down(self):
        self.store_fault(5, down=True)

    def store_slow(self):
        self.store_fault(4, delay_ms=self.random.choice([300, 1500, 4000]))

    def store_loses_answers(self):
        self.store_fault(3, drop_after=True, match="/v1/objects/")

    def store_writes_late(self):
        self.store_fault(3, late_ms=self.random.choice([500, 3000]), match="/v1/objects/claims")

    def worker_fault(self, longest, **switches):
        name = self.random_name("worker", WORKERS)
        self.served.fault(name, match="/pay", **switches)
        self.sleep_up_to(longest)
        self.served.fault(name)

    def worker_loses_answers(self):
        self.worker_fault(2, drop_after=True)

    def worker_slow(self):
        self.worker_fault(3, delay_ms=2000)

    def change_role(self):
        engine = self.served.address[self.random_name("engine", ENGINES)]
        role = self.random.choice(["prefill", "decode", "mixed"])
        body = json.dumps({"engine": engine, "role": role})
        for i in range(DAEMONS):
            try:
                fleet.call(self.served.address["daemon-%d-admin" % i], "/admin/orders/set_role",
                           body, {"Authorization": "Bearer " + fleet.TOKEN}, timeout=2)
            except (OSError, http.client.HTTPException):
                pass


def check_payments(served, payments):
    runs = collections.Counter()
    for i in range(WORKERS):
        runs.update(served.stats("worker-%d" % i)["runs"])
    breaches = []
    for key, answers in payments.answers.items():
        kinds = {kind for kind, _ in answers}
        texts = {text for kind, text in answers if kind == "answered"}
        if runs[key] > 1:
            breaches.append("%s ran %d times: %s" % (key, runs[key], answers))
        if texts and runs[key] != 1:
            breaches.append("%s was answered but ran %d times" % (key, runs[key]))
        if len(texts) > 1:
            breaches.append("%s got different answers: %s" % (key, texts))
        if any('\\"order\\": \\"%s\\"' % key not in text for text in texts):
            breaches.append("%s got the answer to another key: %s" % (key, texts))
        if kinds == {"not_run"} and runs[key] != 0:
            breaches.append("%s was reported as not_run each time but ran" % key)
    return breaches


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--ignores-fencing", action="store_true")
    arguments = parser.parse_args()
    with fleet.Fleet(arguments.build, daemons=DAEMONS, engines=ENGINES, workers=WORKERS,
                     engine_arguments=["--order-ms", "500", "--decode-rate", "100"],
                     worker_arguments=["--run-ms", "20"],
                     checks_fencing=not arguments.ignores_fencing) as served:
        served.wait_until_serving()
        stop = threading.Event()
        payments = Payments(served, arguments.seed)
        streams = Streams(served, expected_answers(served), arguments.seed)
        threads = [threading.Thread(target=payments.run, args=("key%d" % i, stop))
                   for i in range(4)]
        threads += [threading.Thread(target=streams.run, args=(stop,)) for _ in range(6)]
        for thread in threads:
            thread.start()
        faults = Faults(served, arguments.seed)
        try:
            faults.run(arguments.seconds)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        # Waits until writes and calls that were delayed deliberately have taken effect.
        time.sleep(6)
        breaches = check_payments(served, payments) + streams.breaches
        for i in range(ENGINES):
            faults.record_engine_stats("engine-%d" % i)
        if faults.conflicts:
            breaches.append("%d conflicting or stale orders at engines" % faults.conflicts)
        if faults.cut_streams:
            breaches.append("%d streams cut by role changes" % faults.cut_streams)
        outcomes = collections.Counter(
            kind for answers in payments.answers.values() for kind, _ in answers)
        print(json.dumps({"seed": arguments.seed, "faults": collections.Counter(faults.log),
                          "keys": len(payments.answers), "payments": outcomes,
                          "streams": {"whole": streams.whole, "refused": streams.refused,
                                      "cut": streams.cut}, "breaches": len(breaches)}, indent=1))
        for breach in breaches:
            print("BREACH: " + breach)
        sys.exit(1 if breaches else 0)


if __name__ == "__main__":
    main()
