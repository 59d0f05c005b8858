"""Reads and writes HTTP/1.1 messages on asyncio streams, for stand-ins and callers."""

import asyncio

MAX_HEAD = 65536


class Message:
    """A request or an answer: the words of its first line, its headers and its body."""

    def __init__(self, words, headers, body):
        self.words, self.headers, self.body = words, headers, body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the first line's words and the headers; None if the connection ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return lines[0].split(" ", 2), headers


async def read_body(reader, message):
    """Reads a body with a length or in chunks; one without either is empty."""
    if message.header("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(message.header("Content-Length", "0")))


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    message.body = await read_body(reader, message)
    return message


def request_bytes(method, target, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer_bytes(status, headers, body=b""):
    lines = ["HTTP/1.1 %d Status" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
