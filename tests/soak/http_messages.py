"""HTTP/1.1 messages, written by hand so that a fault can be injected at any byte."""


async def read_message(reader):
    """Returns the first line's words, the headers (lower-case names) and the body; None at EOF."""
    line = await reader.readline()
    if not line:
        return None
    words = line.decode("latin-1").rstrip("\r\n").split(" ")
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return words, headers, body


def answer(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
