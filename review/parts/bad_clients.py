"""Bad clients of the page on service: hundreds of requests taken back at once, at full speed.

Started as a process of its own: port, number of clients, seconds, class. Each client sends 300 requests, each
followed by its ABORT, reads what is sent to it, and does so again.
"""

import contextlib
import os
import selectors
import socket
import sys
import time

COUNT = 300  # requests that a client sends and takes back at once


def array(*words):
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in words)


class Client:
    """One bad client's connection."""

    def __init__(self, port, name):
        self.name, self.tag, self.out = name, 0, b""
        self.rounds = 0
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.setblocking(False)

    def fill(self):
        """Encode the next requests, each with its ABORT; their ids are unknown to the interpreter."""
        parts = []
        for _ in range(COUNT):
            self.tag += 1
            fields = b"i=bad0%s,s=%d,f=9,m=24.5,p=0.1" % (os.urandom(6).hex().encode(), time.time() * 1000)
            tag = b"%d" % self.tag
            parts += [array(b"REQ", tag, self.name, fields, b"bad"), array(b"ABORT", tag)]
        self.out = b"".join(parts)
        self.rounds += 1

    def on_event(self, mask):
        """Read and write what is possible; returns whether the connection is still of use."""
        if mask & selectors.EVENT_READ:
            try:
                if not self.sock.recv(65536):
                    return False
            except BlockingIOError:
                pass
        if mask & selectors.EVENT_WRITE:
            if not self.out:
                self.fill()
            with contextlib.suppress(BlockingIOError):
                self.out = self.out[self.sock.send(self.out) :]
        return True


def main():
    """Run the clients."""
    port, count, seconds, name = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4].encode()
    selector, end = selectors.DefaultSelector(), time.monotonic() + seconds
    rounds = 0

    def open_one():
        try:
            client = Client(port, name)
        except OSError:
            return
        selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    for _ in range(count):
        open_one()
    while time.monotonic() < end:
        for key, mask in selector.select(0.1):
            client = key.data
            try:
                alive = client.on_event(mask)
            except OSError:
                alive = False
            if not alive:
                rounds += client.rounds
                selector.unregister(client.sock)
                client.sock.close()
                open_one()
    print(rounds + sum(key.data.rounds for key in selector.get_map().values()))


if __name__ == "__main__":
    main()
