"""An interpreter that answers at once, as a process of its own: `python -m benchmarks.capacity.engine`.

It prints its port. The node links to it, and so does a direct caller, so that what the node adds is the
difference of the two.
"""

from __future__ import annotations

import select
import socket

RESULT = b"y" * 200
BODIES = (b"APPLY", b"RESOLVE")


class Link:
    """One connection: reads lines with their bodies, numbers its notices."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.kept, self.number = sock, b"", 0

    def feed(self, data: bytes) -> None:
        self.kept += data
        said = []
        while (end := self.kept.find(b"\r\n")) >= 0:
            words = self.kept[:end].split()
            rest = end + 2
            if words and words[0] in BODIES:
                rest += int(words[-1]) + 2
                if len(self.kept) < rest:
                    break
            self.kept = self.kept[rest:]
            if words:
                said.append(self.answer(words))
        if reply := b"".join(said):
            self.sock.sendall(reply)

    def answer(self, words: list[bytes]) -> bytes:
        if words[0] == b"CONNECT":
            return b"BANNER LOADED 5000\r\n"
        if words[0] == b"TOP":
            return b"TOPS %s 0.2 1 0.1 3\r\n" % words[1]
        if words[0] == b"APPLY":
            self.number += 1
            return b"VALUE %d %s PASS 1 %d\r\n%s\r\n" % (self.number, words[1], len(RESULT), RESULT)
        return b""


def main() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    links: dict[int, Link] = {}
    poll = select.epoll()
    poll.register(listener, select.EPOLLIN)
    while True:
        for at, _ in poll.poll():
            if at == listener.fileno():
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                links[sock.fileno()] = Link(sock)
                poll.register(sock, select.EPOLLIN)
                continue
            link = links[at]
            try:
                data = link.sock.recv(65_536)
                link.feed(data)
            except OSError:
                data = b""
            if not data:
                poll.unregister(at)
                del links[at]
                link.sock.close()


if __name__ == "__main__":
    main()
