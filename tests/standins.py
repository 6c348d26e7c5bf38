"""Small stand-ins of what a real node talks to, on loopback sockets with free ports; each waits on events."""

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
PATIENCE = 20  # s: only a failing test waits so long
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
    return socket.create_server(("127.0.0.1", 0))


def where(sock):
    return "{}:{}".format(*sock.getsockname())


class Peer:
    """One accepted or opened connection, read as words and bodies."""

    def __init__(self, sock):
        sock.settimeout(PATIENCE)
        self.sock, self.file = sock, sock.makefile("rb")

    def send(self, data):
        self.sock.sendall(data)

    def line(self, counted=()):
        """A line's words, and the body that follows where its first word is among the counted ones."""
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
    """Accepts links, greets each, answers gauges, and hands every other command to the test."""

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
                self.up.set()  # the program asks only once it has read the greeting
                peer.send(b"TOPS %s 0.2 1 0.1 3\r\n" % words[1])
            else:
                self.commands.put((words, body))

    def next(self):
        return self.commands.get(timeout=PATIENCE)

    def notice(self, text, body=None):
        """Numbers it and sends it, or keeps it for the next link."""
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
    """Hands calls to the test, which replies on the connection that they came on."""

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
            except ConnectionResetError:  # the node gives a connection up where its reply can't be read
                return
            if not words:
                return
            self.calls.put((peer, words, body))

    def next(self):
        return self.calls.get(timeout=PATIENCE)


class Program:
    """The program, started as `run` in deploy/balancer.toml does, with a stand-in for each peer."""

    def __init__(self, folder, **changes):
        peers = self.stand_in()
        with listener() as free:
            self.address = free.getsockname()
        told = {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "seed": "5",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": SETTINGS,
        }
        told.update(peers)
        told.update(changes)
        self.told = told
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(told))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lichencleat"],
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(self.config)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.tries = 0

    def stand_in(self):
        """A stand-in for each peer, and where it is."""
        self.interpreter, self.catalogue = Interpreter(), Catalogue()
        self.members = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.members.bind(("127.0.0.1", 0))
        self.members.settimeout(PATIENCE)
        return {
            "vm": where(self.interpreter.listener),
            "members": where(self.members),
            "catalog": where(self.catalogue.listener),
        }

    def move(self):
        """New stand-ins, told by a new configuration; the new interpreter goes on with the notices."""
        notices = self.interpreter.notices
        self.told.update(self.stand_in())
        self.interpreter.notices = notices
        self.config.write_text(json.dumps(self.told))
        self.process.send_signal(signal.SIGHUP)

    def dispatcher(self):
        return Peer(socket.create_connection(self.address, PATIENCE))

    def ready(self):
        """A connection; the program listens before its first report, and asks for gauges once it is up."""
        assert self.members.recv(100) == b"HB n1 UP"
        assert self.interpreter.up.wait(PATIENCE) and self.interpreter.connects.get() == 0
        return self.dispatcher()

    def leave(self):
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        """The exit code, and the counters that it printed."""
        try:
            _, err = self.process.communicate(timeout=PATIENCE)
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


def request(tag, tariff, ident, body, **fields):
    """A request as dispatchers write it, come to the machine just now."""
    said = {"i": ident, "s": time.time_ns() // 1_000_000, "f": 1, "m": "24.5", "p": "0.5", **fields}
    text = ",".join(f"{name}={value}" for name, value in said.items())
    return array(b"REQ", b"%d" % tag, tariff, text.encode(), body)
