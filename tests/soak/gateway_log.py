"""A pipe from a gateway's standard output to a file, which is read slowly at times."""

import fcntl
import os
import threading

PIPE_BYTES = 4096


class GatewayLog:
    """Reads in a thread of its own; what comes while reading is paused stays in the pipe."""

    def __init__(self, path):
        self.path = path
        self.source, self.sink = os.pipe()
        fcntl.fcntl(self.source, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.may_read = threading.Event()
        self.may_read.set()
        self.thread = threading.Thread(target=self.copy, daemon=True)
        self.thread.start()

    def started(self):
        """Leaves the writing end to the process, so that its end ends the pipe."""
        os.close(self.sink)

    def pause(self):
        self.may_read.clear()

    def resume(self):
        self.may_read.set()

    def copy(self):
        with open(self.path, "ab", buffering=0) as file:
            while data := os.read(self.source, PIPE_BYTES):
                file.write(data)
                self.may_read.wait()
        os.close(self.source)

    def drain(self):
        """Reads the rest that an ended process has written."""
        self.resume()
        self.thread.join()
