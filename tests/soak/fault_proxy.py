"""A loopback TCP proxy that delays, resets or blocks traffic, in one or both directions."""

import asyncio
import random
import socket
import struct

PORTS = range(10000, 32000)  # Below those that the kernel gives to outgoing connections.
PORTS_OF_RUN = 1000
PORT_RETRY_S = 0.05


class Ports:
    """Gives out ports that no other run uses, each once, so that a closed one stays its owner's."""

    def __init__(self):
        starts = list(PORTS[::PORTS_OF_RUN])
        random.shuffle(starts)
        self.lock = socket.socket()  # Holds the first port of the block while the run lasts.
        for start in starts:
            try:
                self.lock.bind(("127.0.0.1", start))
            except OSError:
                continue
            self.left = iter(range(start + 1, start + PORTS_OF_RUN))
            return
        raise RuntimeError("no block of ports is free")

    def next(self):
        """Returns a port that is free for TCP and UDP."""
        for port in self.left:
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as free:
                        free.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
        raise RuntimeError("the run has used up its ports")


def reset_connection(writer):
    """Closes with a reset; a plain close would end an answer that has no length."""
    open_socket = writer.transport.get_extra_info("socket")
    if open_socket is not None and open_socket.fileno() >= 0:
        open_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultProxy:
    """Forwards connections to the port `target`; `mode` selects the fault.

    Modes: None, "delay", "silence" (blocks both directions and keeps connections open), "forth" and
    "back" (only bytes to, or from, the target pass) and "refuse".
    """

    def __init__(self, port, target, on_unreachable=None, on_connected=None):
        self.target, self.on_unreachable = target, on_unreachable
        self.on_connected = on_connected  # Called with the port of each connection to the target.
        self.mode = None
        self.server, self.port = None, port
        self.plug = []  # Sockets that keep the port's queue of new connections full.
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        return self.port

    def cut(self, how):
        """Lets no new connection be made until mend().

        "refuse": new ones are refused and open ones live on; "reset": open ones are reset too;
        "hang": new and open ones get no answer.
        """
        self.server.close()
        if how == "reset":
            self.reset()
        if how != "hang":
            return
        self.mode = "silence"
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", self.port))
        except OSError:  # Refused in place of hanging.
            listener.close()
            return
        listener.listen(0)
        self.plug = [listener]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.plug.append(filler)

    async def mend(self):
        for plug in self.plug:
            plug.close()
        self.plug = []
        self.mode = None
        while not self.server.is_serving():
            try:
                await self.start()
            except OSError:  # The kernel has not released the port yet.
                await asyncio.sleep(PORT_RETRY_S)

    def reset(self):
        for writer in list(self.open):
            reset_connection(writer)

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            if self.on_unreachable:
                self.on_unreachable()
            reset_connection(writer)
            return
        if self.on_connected:
            self.on_connected(target_writer.get_extra_info("sockname")[1])
        self.open |= {writer, target_writer}
        try:
            await asyncio.gather(self.copy(reader, target_writer, "forth"),
                                 self.copy(target_reader, writer, "back"))
        except asyncio.CancelledError:  # The soak ends; asyncio would print an error.
            pass
        self.open -= {writer, target_writer}

    async def copy(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silence" or self.mode in ("forth", "back") and self.mode != way:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            reset_connection(writer)
