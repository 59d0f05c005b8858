"""What the soak's callers sent and its workers ran, and the checks over both."""

import time

from disturbances import Disturbances

MIN_HOLDER_CHANGE_S = 3.0
TIME_LIMIT_S = 2.9  # An answer that ends later than this may have reached its deadline of 3 s.


class Records:
    """Records what callers sent and workers ran, and checks it."""

    EVENTS = 12

    def __init__(self):
        self.sent, self.runs, self.not_run, self.failures = {}, {}, set(), []
        self.orders = []
        self.counts = {}
        self.disturbances = Disturbances()
        self.offers = {}  # The workers that received a request, by request.
        self.silenced, self.silence_counts = set(), {}

    def fail(self, what):
        self.failures.append("%.3f %s" % (time.time(), what))
        print("FAILED:", what, flush=True)

    @staticmethod
    def seal(worker, request):
        return "%s.%s" % (worker, request)

    @staticmethod
    def body(request):
        return ("answer to %s " % request).encode() * 20

    @staticmethod
    def event(request, number):
        return b"id: %d\ndata: %s-%d\n\n" % (number, request.encode(), number)

    def on_run(self, worker, request, method, target, body):
        known = self.sent.get(request)
        if known is None or known["asked"] != (method, target, body):
            self.fail("%s ran a request that no caller sent: %s %s" % (worker, request, target))
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        if not known["idempotent"] and self.runs[request] > 1:
            self.fail("%s ran %d times" % (request, self.runs[request]))
        if request in self.not_run:
            self.fail("%s ran after its caller was told that it had not run" % request)

    def on_offer(self, worker, request):
        self.offers.setdefault(request, set()).add(worker)

    def on_silence(self, request):
        self.silenced.add(request)

    def on_order(self, worker, order):
        now = time.monotonic()
        for at, holder, fence in self.orders[-20:]:
            if holder != order["holder"] and fence == order["fence"]:
                self.fail("two holders sent orders with fencing number %d" % fence)
            if holder != order["holder"] and now - at < MIN_HOLDER_CHANGE_S:
                self.fail("two holders sent orders within %.1f s" % (now - at))
            if fence > order["fence"]:
                self.fail("fencing number %d after %d" % (order["fence"], fence))
        self.orders.append((now, order["holder"], order["fence"]))

    def on_attempt(self, attempt):
        """Checks what an attempt brought; its status is 0 if it brought no answer."""
        if attempt.status:
            self.check_answer(attempt)
        if attempt.request in self.silenced:
            kind = self.check_silenced(attempt)
            self.silence_counts[kind] = self.silence_counts.get(kind, 0) + 1

    def check_silenced(self, attempt):
        """Checks that no answer ended because one of its workers was silent; returns the outcome."""
        scopes = {"workers", "gateway-%d" % attempt.port} | self.offers[attempt.request]
        if self.disturbances.overlap(attempt.start, attempt.end, scopes):
            return "beside another fault"
        if attempt.end - attempt.start >= TIME_LIMIT_S:
            return "at the time limit"
        if attempt.whole and attempt.status == 503:
            return "refused"
        seal = attempt.headers.get("x-hawthorndrum-response-seal", "")
        if attempt.whole and seal.endswith("." + attempt.request):
            return "complete"
        self.fail("%s %s ended with %s, %d bytes, after %.3f s beside a silent worker; it was at %s" % (
            attempt.request, attempt.asked[1], attempt.status if attempt.whole else "a closed connection",
            len(attempt.body), attempt.end - attempt.start, sorted(self.offers[attempt.request])))
        return "failed"

    def check_answer(self, attempt):
        request, status, path = attempt.request, attempt.status, attempt.asked[1]
        kind = status if attempt.whole else "cut"
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if status in (408, 421, 429, 503) and not self.sent[request]["idempotent"]:
            self.not_run.add(request)
            if self.runs.get(request, 0):
                self.fail("%s was reported as not run with %d but had run" % (request, status))
        if status == 404:
            return self.fail("%s got 404" % request)
        if status != 200:
            return
        if not attempt.headers.get("x-hawthorndrum-response-seal", "").endswith("." + request):
            return self.fail("%s got a success without its worker's seal" % request)
        if path.startswith("/stream/"):
            want = b"".join(self.event(request, n) for n in range(1, self.EVENTS + 1))
            correct = attempt.body == want if attempt.whole else want.startswith(attempt.body)
        else:
            correct = attempt.body == self.body(request) or not attempt.whole
        if not correct:
            self.fail("%s got %r" % (request, attempt.body[-80:]))
