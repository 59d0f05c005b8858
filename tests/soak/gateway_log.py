"""A pipe from a gateway's standard output to a file, which is read slowly at times."""

import asyncio
import fcntl
import os

PIPE_BYTES = 4096
READ_BYTES = 65536


class GatewayLog:
    """Reads in the event loop; what comes while reading is paused stays in the pipe."""

    def __init__(self, path):
        self.file = open(path, "ab")
        self.source, self.sink = os.pipe()
        fcntl.fcntl(self.source, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(self.source, False)
        self.resume()

    def started(self):
        """Leaves the writing end to the process, so that its end ends the pipe."""
        os.close(self.sink)

    def pause(self):
        if self.source is not None:
            asyncio.get_running_loop().remove_reader(self.source)

    def resume(self):
        if self.source is not None:
            asyncio.get_running_loop().add_reader(self.source, self.read)

    def read(self):
        try:
            data = os.read(self.source, READ_BYTES)
        except BlockingIOError:
            return
        self.file.write(data)
        self.file.flush()
        if not data:
            self.close()

    def drain(self):
        """Reads the rest that an ended process has written."""
        while self.source is not None:
            self.read()

    def close(self):
        if self.source is None:
            return
        self.pause()
        os.close(self.source)
        self.file.close()
        self.source = None
