"""Requests with unusual, broken or unfinished framing, and odd values of headers."""

BIGGEST = 2 ** 64 - 1
COUNTS = ["", ",", "0,0", "-1,5", "1,-5", " 5,5", "1e9,1", "5", "%d,1" % BIGGEST, "900,20",
          "1,%d" % BIGGEST, "%d,%d" % (BIGGEST, BIGGEST), "%d,1" % 2 ** 63, "%d0,1" % BIGGEST]
PARTS = ["", "x", "a1:", ":5", "a1:%d,b:1" % BIGGEST, "a1:%d,b1:%d,c:5" % (2 ** 63, 2 ** 63),
         "a1:-5,b:5", ",".join("a%x:9" % i for i in range(70)), "f" * 3000 + ":7,b:1"]
ODD_HEADERS = ["X-Hawthorndrum-Deadline-Ms:", "X-Hawthorndrum-Deadline-Ms: %d" % BIGGEST,
               "Last-Event-Id: %d" % BIGGEST, "Last-Event-Id:", "Resumes:", "Resumes: nobody",
               "Accept: " + "a" * 9000, "Connection: close, Cookie", "Upgrade: websocket",
               "X-Hawthorndrum-Tenant: forged", "X-Hawthorndrum-Deadline-Ms: -1"]
# A second request, inside a body whose end two framings put at different bytes.
HIDDEN = b"0\r\n\r\nGET /look/hidden HTTP/1.1\r\nHost: shop.example\r\n" \
         b"X-Hawthorndrum-Request-Id: hidden\r\n\r\n"
BAD_FRAMINGS = [["Transfer-Encoding: chunked", "Content-Length: 5"], ["Content-Length: -5"],
                ["Content-Length: 5", "Content-Length: %d" % len(HIDDEN)],
                ["Content-Length: %d" % BIGGEST], ["Content-Length: 5, 6"],
                ["Transfer-Encoding: x, chunked, y"]]
BAD_CHUNKS = [b"zz\r\nab\r\n0\r\n\r\n", b"-1\r\nab\r\n0\r\n\r\n", b"5\r\nab\r\n0\r\n\r\n",
              b"fffffffffffffffff\r\nab\r\n", b"2\r\nabc\r\n0\r\n\r\n"]


class Asked:
    """A request, and what a worker gets of it if it is sent whole."""

    def __init__(self, rng, name, prefix, version="HTTP/1.1", method=None):
        self.names, self.rng = [name], rng
        self.method = method or ("GET" if prefix == "/look/" else "POST")
        self.target, self.version = prefix + name, version
        self.is_stream = prefix.startswith("/stream/")
        self.idempotent = prefix in ("/look/", "/stream/tell/")
        self.body = rng.randbytes(rng.randrange(1, 3000)) if self.method == "POST" else b""
        self.headers = ["Host: shop.example", "X-Hawthorndrum-Request-Id: " + name,
                        "X-Hawthorndrum-Deadline-Ms: 3000"]

    def head(self, *framing):
        first = "%s %s %s" % (self.method, self.target, self.version)
        return "\r\n".join([first, *self.headers, *framing, "", ""]).encode()

    def whole(self):
        return self.head("Content-Length: %d" % len(self.body)) + self.body

    def chunked(self):
        chunk = b"%x;a=b\r\n%s\r\n" % (len(self.body), self.body) if self.body else b""
        end = self.rng.choice([b"0\r\n\r\n", b"0\r\nContent-Length: 5\r\n\r\n"])
        return self.head("Transfer-Encoding: chunked") + chunk + end

    def unfinished(self):
        whole = self.whole()
        return self.rng.choice([
            whole[:self.rng.randrange(len(whole))], self.head("Content-Length: 900000") + self.body,
            self.head("Content-Length: 7", "Expect: 100-continue"),
            self.head("Transfer-Encoding: chunked") + self.rng.choice(BAD_CHUNKS),
            self.head(*self.rng.choice(BAD_FRAMINGS)) + HIDDEN])
