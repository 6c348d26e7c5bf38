"""Stand-ins and process control for the cases of this review: asyncio, standard library only.

The stand-ins follow the operators' protocol page: dispatchers (`Client`), the interpreter (`Interpreter`) and
the membership service (`Members`). `Program` starts the project's programs with the commands of the deploy
file, on loopback addresses, and `stop_all` ends every process that was started.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv" / "bin" / "python")
COMMAND = [PYTHON, "-m", "lichencleat"]  # what .venv/bin/lichencleat runs
LOCAL = "127.0.0.1"
STARTED: list[subprocess.Popen] = []
START = time.monotonic()


class CannotRunError(Exception):
    """The case could not be played: exit code 2."""

    def __init__(self, what: str, timeout: float) -> None:
        super().__init__(f"waited {timeout:g} s for {what}")


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
        self.file.flush()


def free_ports(count: int) -> list[int]:
    """Return free TCP ports below the kernel's ephemeral range."""
    found: list[int] = []
    draw = random.SystemRandom()
    while len(found) < count:
        port = draw.randrange(20_000, 32_000)
        try:
            with socket.create_server((LOCAL, port)):
                pass
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def start(arguments: list[str], log: Path, **environment: str) -> subprocess.Popen:
    """Start a process from the root of the repository; its output is appended to the log."""
    with open(log, "ab") as out:
        process = subprocess.Popen(
            arguments, cwd=ROOT, env={**os.environ, **environment}, stdout=out, stderr=out
        )
    STARTED.append(process)
    return process


def start_node(config: Path, log: Path, operator_file: Path | None = None) -> subprocess.Popen:
    """Start a node as `run` of the deploy file does."""
    more = {"LICHENCLEAT_FILE": str(operator_file)} if operator_file is not None else {}
    return start([PYTHON, "-m", "lichencleat"], log, BALANCER_CONFIG=str(config), **more)


def start_command(arguments: list[str], log: Path) -> subprocess.Popen:
    """Start a long-running command of the program `lichencleat`."""
    return start([*COMMAND, *arguments], log)


def command(arguments: list[str], timeout: float = 30.0) -> tuple[int, str]:
    """Run a command of the program `lichencleat` to its end; returns its exit code and output."""
    done = subprocess.run(
        [*COMMAND, *arguments],
        cwd=ROOT,
        timeout=timeout,
        check=False,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return done.returncode, done.stdout


def stop_all() -> None:
    """End every process that was started and is still running."""
    for process in STARTED:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def node_config(path: Path, name: str, port: int, vm: str, members: str, settings: dict, **more) -> Path:
    """Write a node's configuration file and return its path."""
    configuration = {
        "name": name,
        "listen": f"{LOCAL}:{port}",
        "vm": vm,
        "members": members,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": settings,
    } | more
    path.write_text(json.dumps(configuration))
    return path


def settings(window: float = 16.383, cores: int = 6, aim: float = 2.3, deadline: float = 5.5) -> dict:
    """Return settings like those of a small deployment: `look` is pure, `save` is keyed."""
    return {
        "classes": [
            {"name": "look", "aim": aim, "deadline": deadline, "effect": "free", "worth": 1.0},
            {
                "name": "save",
                "aim": aim,
                "deadline": deadline,
                "effect": "guarded",
                "worth": 4.0,
                "window": window,
            },
        ],
        "specifics": {
            "cores": cores,
            "memoryKb": 100_000.0,
            "blowup": 16.0,
            "entryKb": 1.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "abort",
            "advert": "threshold",
            "below": "none",
            "classCalls": [False, False],
        },
        "invariants": {"tipMultiple": 8.0, "stopSendingWithin": 2.0},
        "allowed": {"maxRetryAfter": 1.0},
        "resolution": 0.005,
    }


class Interpreter:
    """The interpreter: runs requests for a given time and reports numbered notices."""

    def __init__(self, note, work: float = 0.02, name: str = "vm") -> None:
        self.note, self.work, self.name = note, work, name
        self.born = time.monotonic()
        self.writer: asyncio.StreamWriter | None = None
        self.notices: list[bytes] = []
        self.runs: dict[bytes, asyncio.TimerHandle] = {}
        self.seen: set[bytes] = set()  # ids that were applied since the node's start
        self.over: set[bytes] = set()  # ids of requests that are answered or given up
        self.log: list[tuple[float, bytes, bytes, bytes]] = []  # time, id, class, body of each run
        self.hold = lambda body: None  # seconds for which a body runs; None: `work`
        self.gauges_wanted = asyncio.Event()
        self.results: dict[bytes, list[bytes]] = {}  # results by body

    async def listen(self, port: int = 0) -> str:
        """Listen and return the address."""
        self.server = await asyncio.start_server(self.serve, LOCAL, port)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link."""
        try:
            while line := await reader.readline():
                words = line.split()
                body = b""
                if words and words[0] in (b"APPLY", b"RESOLVE"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self.handle(words, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        if self.writer is writer:
            self.writer = None
        writer.close()

    def handle(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> None:
        """Carry out one command."""
        if words[0] == b"CONNECT":
            if words[1] == b"0":
                self.notices = []
            old, self.writer = self.writer, writer
            if old is not None:
                old.close()
            age = int((time.monotonic() - self.born) * 1000)
            writer.write(b"BANNER LOADED %d\r\n" % age + b"".join(self.notices[int(words[1]) :]))
        elif words[0] == b"TOP":
            self.gauges_wanted.set()
            busy = min(1.0, len(self.runs) / 6)
            writer.write(b"TOPS %s %.2f %d 0.1 3\r\n" % (words[1], busy, len(self.runs)))
        elif words[0] == b"APPLY":
            self.apply(words[1], words[2], body)
        elif words[0] == b"BREAK":
            timer = self.runs.pop(words[1], None)
            if timer is not None:
                timer.cancel()
                self.note(f"{self.name} run {words[1].decode()} stopped")
                self.notice(b"VALUE", words[1] + b" KILLED 1", b"")

    def apply(self, ident: bytes, request_class: bytes, body: bytes) -> None:
        """Start a run, once for each request."""
        if ident in self.runs:
            return
        if ident in self.seen or ident in self.over:
            self.notice(b"VALUE", ident + b" NOOP 0", b"")
            return
        self.seen.add(ident)
        self.log.append((time.monotonic(), ident, request_class, body))
        self.note(f"{self.name} RUNS id={ident.decode()} class={request_class.decode()} body={body!r}")
        held = self.hold(body)
        span = self.work if held is None else held
        self.runs[ident] = asyncio.get_running_loop().call_later(span, self.end, ident, body, span)

    def end(self, ident: bytes, body: bytes, span: float) -> None:
        """End a run with a result that names the run."""
        self.runs.pop(ident, None)
        result = b"result of run %d of " % sum(each[3] == body for each in self.log) + body
        self.results.setdefault(body, []).append(result)
        self.notice(b"VALUE", ident + b" PASS %d" % int(span * 1000), result)

    def notice(self, kind: bytes, text: bytes, body: bytes) -> None:
        """Number a notice, keep it, and send it if there is a link."""
        line = b"%s %d %s %d\r\n%s\r\n" % (kind, len(self.notices) + 1, text, len(body), body)
        self.notices.append(line)
        if self.writer is not None:
            self.writer.write(line)

    def count(self, body: bytes) -> int:
        """Return how often a body was run."""
        return sum(each[3] == body for each in self.log)


class Members(asyncio.DatagramProtocol):
    """The membership service, which only takes reports."""

    async def listen(self) -> str:
        """Listen and return the address."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(LOCAL, 0))
        return "{}:{}".format(*self.transport.get_extra_info("sockname"))


class Try:
    """One try of a request and what came of it."""

    def __init__(self, name: str, ident: str, body: bytes, sent: float) -> None:
        self.name, self.ident, self.body, self.sent = name, ident, body, sent
        self.answers: list[tuple[float, bytes, bytes, bytes]] = []  # time, word, fields, result
        self.lost = False
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def word(self) -> str:
        """The first answer's word, `lost` or `open`."""
        return self.answers[0][1].decode() if self.answers else "lost" if self.lost else "open"


def array(*words: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in words)


async def read_array(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read a RESP array; None at the end of the stream."""
    head = await reader.readline()
    if not head:
        return None
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Client:
    """A dispatcher's connection to a node or a router."""

    def __init__(self, note, address: tuple[str, int], name: str = "client") -> None:
        self.note, self.address, self.name = note, address, name
        self.tag = 0
        self.open: dict[int, Try] = {}
        self.draining = False
        self.closed = False
        self.on_over = lambda ident: None
        self.corked: list[bytes] | None = None  # what waits to be written in one piece

    def cork(self) -> None:
        """Collect what is sent, until `uncork` writes it in one piece."""
        self.corked = []

    def uncork(self) -> None:
        """Write what was collected."""
        corked, self.corked = self.corked, None
        self.writer.write(b"".join(corked or ()))

    def write(self, data: bytes) -> None:
        """Write, or collect while corked."""
        if self.corked is None:
            self.writer.write(data)
        else:
            self.corked.append(data)

    async def connect(self) -> Client:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.task = asyncio.create_task(self.receive())
        return self

    def send(
        self, name: str, request_class: str, body: bytes, key: str = "", retry: bool = False, **more
    ) -> Try:
        """Send a try and return it."""
        self.tag += 1
        ident = f"{random.getrandbits(64):016x}"
        fields = {"i": ident, "s": time.time_ns() // 1_000_000, "f": 1, "m": "10.0", "p": "0.9900"}
        if key:
            fields["k"] = key
        if retry:
            fields["r"] = 1
        fields |= more
        text = ",".join(f"{each}={value}" for each, value in fields.items())
        made = self.open[self.tag] = Try(name, str(fields["i"]), body, time.monotonic())
        made.tag = self.tag
        self.write(array(b"REQ", b"%d" % self.tag, request_class.encode(), text.encode(), body))
        self.note(f"{self.name} sends {name}: id={made.ident} key={key or '-'} r={int(retry)} body={body!r}")
        return made

    def check(self) -> None:
        """Send a health check; its answer is not recorded."""
        self.tag += 1
        self.write(array(b"HEALTH", b"%d" % self.tag, b""))

    def abort(self, made: Try) -> None:
        """Take a try back."""
        self.write(array(b"ABORT", b"%d" % made.tag))
        self.note(f"{self.name} takes {made.name} back")
        self.on_over(made.ident.encode())

    async def receive(self) -> None:
        """Read answers until the connection ends."""
        try:
            while (words := await read_array(self.reader)) is not None:
                self.on_array(words)
                if self.draining and all(each.answers for each in self.open.values()):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        self.closed = True
        for made in self.open.values():
            if not made.answers:
                made.lost = True
                self.note(f"{self.name} loses {made.name} with its connection")
                self.finish(made)
        self.writer.close()

    def on_array(self, words: list[bytes]) -> None:
        """Handle an answer or a goaway."""
        if words[0] == b"0":
            self.draining = True
            self.note(f"{self.name} gets goaway")
            return
        made = self.open.get(int(words[0]))
        if made is None:  # the answer to a health check
            return
        words += [b""] * (4 - len(words))
        made.answers.append((time.monotonic(), words[1], words[2], words[3]))
        answer = f"{words[1].decode()} {words[2].decode()} {words[3]!r}"
        self.note(f"{self.name} gets {made.name}: {answer}")
        self.finish(made)

    def finish(self, made: Try) -> None:
        """Handle that a try is answered or lost."""
        self.on_over(made.ident.encode())
        if not made.done.done():
            made.done.set_result(made.word)


async def until(condition, what: str, timeout: float = 15.0) -> None:
    """Wait until a condition holds. Raises CannotRunError after the timeout."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(what, timeout)
        await asyncio.sleep(0.01)


async def connected(note, address: tuple[str, int], name: str = "client", timeout: float = 15.0) -> Client:
    """Open a connection as soon as somebody listens."""
    end = time.monotonic() + timeout
    while True:
        try:
            return await Client(note, address, name).connect()
        except OSError as error:
            if time.monotonic() > end:
                what = f"a listener at {address}"
                raise CannotRunError(what, timeout) from error
            await asyncio.sleep(0.02)


def main(play, folder: str) -> None:
    """Play a case: exit code 0 if `play` returns True (the rule held), 1 if False, 2 if it could not run."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(play(record.note, trouble), 115))
        code = 0 if held else 1
    except (CannotRunError, TimeoutError, OSError, subprocess.SubprocessError) as error:
        record.note(f"could not run: {error!r}")
    finally:
        stop_all()
    record.note(f"verdict: {({0: 'the rule held', 1: 'the rule was broken', 2: 'could not run'})[code]}")
    print(record.file.name, ("held", "BROKEN", "could not run")[code])
    sys.exit(code)
