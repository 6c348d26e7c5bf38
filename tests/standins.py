"""Stand-ins for the peers of a node, on loopback sockets with free ports, and the program under test."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from queue import Queue

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT = 20  # s, the timeout of all waits; only a failing test reaches it
SETTINGS = {
    "classes": [
        {"name": "look", "aim": 2.0, "deadline": 6.0, "effect": "free", "worth": 1.0},
        {"name": "save", "aim": 2.0, "deadline": 6.0, "effect": "guarded", "worth": 4.0, "window": 10.0},
    ],
    "specifics": {
        "cores": 2,
        "memoryKb": 10000.0,
        "blowup": 4.0,
        "entryKb": 10.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "halt": "abort",
        "advert": "threshold",
        "below": "tier",
        "classCalls": [True, True],
        "classSkipWorth": [0.0, 0.0],
    },
    "invariants": {"tipMultiple": 8.0, "stopSendingWithin": 0.3, "cold": 10.0, "coldFrom": 0.3},
    "allowed": {"maxRetryAfter": 1.0},
    "resolution": 0.005,
}


def listener():
    """A listening socket on a free loopback port."""
    return socket.create_server(("127.0.0.1", 0))


def address_of(sock):
    """The address of a socket as host:port."""
    return "{}:{}".format(*sock.getsockname())


class Peer:
    """One accepted or opened connection, read as words and bodies."""

    def __init__(self, sock):
        sock.settimeout(TIMEOUT)
        self.sock, self.file = sock, sock.makefile("rb")

    def send(self, data):
        self.sock.sendall(data)

    def line(self, counted=()):
        """Read a line's words, and the body that follows if the first word is in `counted`."""
        words = self.file.readline().split()
        body = self.file.read(int(words[-1]) + 2)[:-2] if words and words[0] in counted else b""
        return words, body

    def array(self):
        head = self.file.readline()
        if not head:
            return None
        words = []
        for _ in range(int(head[1:])):
            size = int(self.file.readline()[1:])
            words.append(self.file.read(size + 2)[:-2])
        return words

    def close(self):
        self.file.close()
        self.sock.close()


class Interpreter(threading.Thread):
    """Accepts links, greets each, answers gauges, and passes every other command to the test."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener, self.commands = listener(), Queue()
        self.notices, self.peer = [], None
        self.connects, self.up = Queue(), threading.Event()
        self.start()

    def run(self):
        while True:
            try:
                self.serve(Peer(self.listener.accept()[0]))
            except OSError:
                if self.listener.fileno() < 0:
                    return

    def serve(self, peer):
        words, _ = peer.line()
        after = int(words[1])
        self.connects.put(after)
        peer.send(b"BANNER LOADED 5000\r\n" + b"".join(self.notices[after:]))
        self.peer = peer
        while True:
            words, body = peer.line((b"APPLY", b"RESOLVE"))
            if not words:
                return
            if words[0] == b"TOP":
                self.up.set()  # the program requests gauges only after it has read the greeting
                peer.send(b"TOPS %s 0.2 1 0.1 3\r\n" % words[1])
            else:
                self.commands.put((words, body))

    def next(self):
        return self.commands.get(timeout=TIMEOUT)

    def notice(self, text, body=None):
        """Number a notice and send it; without a link, keep it for the next one."""
        kind, rest = text.split(b" ", 1)
        line = b"%s %d %s" % (kind, len(self.notices) + 1, rest)
        if body is not None:
            line += b" %d\r\n%s" % (len(body), body)
        self.notices.append(line + b"\r\n")
        if self.peer is not None:
            self.peer.send(self.notices[-1])

    def cut(self):
        peer, self.peer = self.peer, None
        peer.sock.shutdown(socket.SHUT_RDWR)


class Catalogue(threading.Thread):
    """Passes calls to the test, which replies on the call's connection."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener, self.calls = listener(), Queue()
        self.start()

    def run(self):
        while True:
            try:
                peer = Peer(self.listener.accept()[0])
            except OSError:
                return
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        while True:
            try:
                words, body = peer.line((b"FETCH",))
            except ConnectionResetError:  # the node aborts a connection with an invalid reply
                return
            if not words:
                return
            self.calls.put((peer, words, body))

    def next(self):
        return self.calls.get(timeout=TIMEOUT)


class Program:
    """The program, started like `run` in deploy/balancer.toml, with a stand-in for each peer."""

    def __init__(self, folder, **changes):
        peers = self.start_stand_ins()
        with listener() as free:
            self.address = free.getsockname()
        configuration = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "seed": "5",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": SETTINGS,
        }
        configuration.update(peers)
        configuration.update(changes)
        self.configuration = configuration
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(configuration))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lichencleat"],
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(self.config)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.tries = 0

    def start_stand_ins(self):
        """Start a stand-in for each peer; returns their addresses by configuration key."""
        self.interpreter, self.catalogue = Interpreter(), Catalogue()
        self.members = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.members.bind(("127.0.0.1", 0))
        self.members.settimeout(TIMEOUT)
        return {
            "vm": address_of(self.interpreter.listener),
            "members": address_of(self.members),
            "catalog": address_of(self.catalogue.listener),
        }

    def move(self):
        """Start new stand-ins and reload the configuration; the new interpreter continues the notices."""
        notices = self.interpreter.notices
        self.configuration.update(self.start_stand_ins())
        self.interpreter.notices = notices
        self.config.write_text(json.dumps(self.configuration))
        self.process.send_signal(signal.SIGHUP)

    def dispatcher(self):
        return Peer(socket.create_connection(self.address, TIMEOUT))

    def ready(self):
        """Wait until the program is up; returns a connection to it."""
        # it listens before its first membership report, and requests gauges once it is up
        assert self.members.recv(100) == b"HB n1 UP"
        assert self.interpreter.up.wait(TIMEOUT) and self.interpreter.connects.get() == 0
        return self.dispatcher()

    def leave(self):
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        """Wait for the exit; returns the exit code, the printed counters and standard error."""
        try:
            _, err = self.process.communicate(timeout=TIMEOUT)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        counters = {}
        for line in err.splitlines():
            if " counter " in line:
                name, value = line.split(" counter ", 1)[1].rsplit(": ", 1)
                counters[name] = int(value)
        return self.process.returncode, counters, err

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.stderr.close()
        self.process.wait()
        for each in (self.members, self.interpreter.listener, self.catalogue.listener):
            each.close()


def array(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in words)


def request(tag, request_class, ident, body, **fields):
    """Encode a request as dispatchers do, with the current time as its arrival."""
    said = {"i": ident, "s": time.time_ns() // 1_000_000, "f": 1, "m": "24.5", "p": "0.5", **fields}
    text = ",".join(f"{name}={value}" for name, value in said.items())
    return array(b"REQ", b"%d" % tag, request_class, text.encode(), body)
