"""A proxy in front of one address; it passes bytes on until the link is cut, and refuses then."""

import asyncio


class Link:
    def __init__(self, port):
        self.to, self.writers, self.is_cut = port, set(), False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def cut(self):
        """Ends what is open with resets; new connections are refused."""
        self.is_cut = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heal(self):
        self.is_cut = False
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
            self.writers.add(far_writer)
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
            self.writers.discard(far_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()
