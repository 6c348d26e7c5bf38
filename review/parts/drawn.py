"""Drawn schedules against one node, to look for broken rules: python review/parts/drawn.py SEED [drain].

Settings, load and disruptions are drawn from the seed: links that break and lose commands, notices that
come twice, calls that fail, resets and requests taken back by dispatchers, further tries of keyed requests,
hangs, new configurations, bad clients that use open ids and keys; with `drain` a notice to leave, and SIGKILL
at its time.
"""

import asyncio
import logging
import random
import sys
import time

from world import HOST, Caller, World, array, now_ms, read_array, small_settings

LENGTH_S = 12.0
REPLIES = {"LATER": 3, "FAULT": 2, "NOUSE": 1, "RESET": 2, "NONE": 1}


def draw_settings(rng):
    """Return drawn settings like those of a small deployment."""
    settings = small_settings()
    specifics, classes = settings["specifics"], settings["classes"]
    specifics["halt"] = rng.choice(("abort", "abort", "none"))
    specifics["blowup"] = rng.choice((4.0, 8.0, 16.0))
    if rng.random() < 0.5:
        specifics["memoryKb"], specifics["entryKb"] = (
            rng.choice((3000, 6000, 12000)),
            rng.choice((10, 50, 133)),
        )
    if rng.random() < 0.3:
        specifics["below"], specifics["callsOut"] = "shared", rng.choice((0.5, 2.0, 6.0))
    if rng.random() < 0.4:
        specifics["callerIdle"] = rng.choice((0.5, 1.0, 2.0))
    if rng.random() < 0.3:
        classes[2]["window"] = rng.choice((0.5, 1.0, 2.0))
    classes[0]["effect"] = rng.choice(("free", "free", "guarded"))
    classes[1]["effect"] = rng.choice(("free", "free", "free", "single_shot"))
    if rng.random() < 0.4:
        for each in classes:
            each["aim"], each["deadline"] = each["aim"] * 0.35, each["deadline"] * 0.4
    return settings


class Schedule:
    """One drawn schedule."""

    def __init__(self, seed, drains):
        self.rng = rng = random.Random(seed)
        self.stop_ms = rng.choice((2300, 2600, 3200, 5000))
        self.drains = drains
        self.world = World(
            draw_settings(rng),
            seed=seed,
            command_delay=rng.choice((0, 0.02, 0.04)),
            limits={"cores": 1.0, "memory_mb": 192, "sockets": rng.choice((1024, 384, 64, 100))},
            stop_ms=self.stop_ms,
        )
        self.world.repeat_notices = 0.05
        self.world.interpreter.state = rng.choice(("LOADED", "LOADED", "EMPTY"))
        self.world.catalogue.choose = self.choose_reply
        self.rate = rng.choice((10, 30, 80))
        self.callers = []

    def choose_reply(self, _one):
        """Return the reply to a call, and after how long it comes."""
        words = ["DATA", *REPLIES]
        word = self.rng.choices(words, [88, *REPLIES.values()])[0]
        return word, self.rng.expovariate(15) if word == "DATA" else 0.02

    async def caller(self):
        """Return a connection that takes one more request."""
        self.callers = [each for each in self.callers if not (each.closed or each.away)]
        usable = [each for each in self.callers if each.usable]
        if not usable or (len(usable) < 5 and self.rng.random() < 0.3):
            self.callers.append(await Caller(self.world).connect())
            return self.callers[-1]
        return self.rng.choice(usable)

    async def attempt(self, one):
        """Send a try, and take it back at times."""
        caller = await self.caller()
        tag = caller.send(one)
        deadline = self.world.classes[one.name]["deadline"]
        patience = deadline + 1 if self.rng.random() < 0.9 else self.rng.uniform(0, deadline)
        try:
            await asyncio.wait_for(one.over_event.wait(), patience)
        except TimeoutError:
            caller.abort(tag)

    async def ask(self, name):
        """Send a request: one try, or some of a keyed one, after each other or at once."""
        is_keyed = self.world.classes[name]["effect"] == "guarded"
        key = b"%032x" % self.rng.getrandbits(128) if is_keyed else None
        first = self.world.make_try(name, key)
        tasks = []
        for number in range(self.rng.choice((1, 1, 2, 3, 5)) if key else 1):
            one = first if not number else self.world.make_try(name, key, first.body, first.work, first.calls)
            tasks.append(asyncio.ensure_future(self.attempt(one)))
            if self.rng.random() < 0.5:
                await asyncio.wait(tasks[-1:])
            await asyncio.sleep(self.rng.choice((0, 0.001, 0.02, 0.3, self.rng.uniform(0, 4))))
        await asyncio.gather(*tasks, return_exceptions=True)

    async def disturb(self, end):
        """Cause drawn disruptions until the end."""
        world, rng = self.world, self.rng
        while time.monotonic() < end and world.process.poll() is None:
            await asyncio.sleep(rng.expovariate(1.5))
            kind = rng.random()
            if kind < 0.5:
                world.interpreter.cut(rng.random() < 0.7)
            elif kind < 0.6 and world.process.poll() is None:
                await world.move()
            elif kind < 0.7:
                self.tasks.append(asyncio.ensure_future(self.send_bad()))
            elif kind < 0.75:
                world.interpreter.hung = True
                asyncio.get_running_loop().call_later(
                    rng.uniform(0.2, 4), setattr, world.interpreter, "hung", False
                )
            elif self.callers:
                rng.choice(self.callers).reset()

    async def send_bad(self):
        """Send what a bad client sends: open ids and keys with another body, halves, unknown ids."""
        world, rng = self.world, self.rng
        reader, writer = await asyncio.open_connection(HOST, world.port)
        tries = [each for each in world.tries.values() if not each.over]
        out = b""
        for tag in range(1, rng.randrange(2, 9)):
            ident = rng.choice([each.ident for each in tries] or [b"bad0%012x" % rng.getrandbits(48)])
            key = rng.choice([each.key for each in tries if each.key] or [b"%032x" % rng.getrandbits(128)])
            fields = b"i=%s,s=%d,f=1,m=24.5,p=0.5,k=%s" % (ident, now_ms(), key)
            name = rng.choice(list(world.classes)).encode()
            out += array(b"REQ", b"%d" % tag, name, fields, b"another body")
        writer.write(out[: rng.choice((len(out), len(out) - 7))])
        while (words := await asyncio.wait_for(read_array(reader), 4)) is not None:
            if words[1] == b"200":
                world.broke("foreign", "a bad client was served")
        writer.close()

    async def leave(self):
        """Give the notice at a drawn time, and SIGKILL when its time is over."""
        await asyncio.sleep(self.rng.uniform(1.5, LENGTH_S - 4))
        world = self.world
        world.terminate()
        while now_ms() < world.notice_at + self.stop_ms and world.process.poll() is None:
            await asyncio.sleep(0.002)
        if world.process.poll() is None:
            world.process.kill()
            if any(each.open for each in self.callers if not each.closed):
                world.broke("drain", "killed with open requests")

    async def play(self):
        """Play the schedule and print what it found."""
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        world = self.world
        await world.start()
        end = time.monotonic() + LENGTH_S
        watching = asyncio.ensure_future(world.watch())
        self.tasks = [asyncio.ensure_future(self.disturb(end))]
        if self.drains:
            self.tasks.append(asyncio.ensure_future(self.leave()))
        while time.monotonic() < end and world.process.poll() is None:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            self.tasks.append(asyncio.ensure_future(self.ask(self.rng.choice(list(world.classes)))))
        await asyncio.gather(*self.tasks, return_exceptions=True)
        watching.cancel()
        if world.process.poll() not in ((0, -9) if self.drains else (None,)):
            world.broke("crash", f"exit code {world.process.returncode}")
        await asyncio.sleep(0.3)
        world.check_end()
        print(world.counts(), f"late {len(world.late)}", world.breaks[:5])
        (world.folder / "record.txt").write_text("\n".join(world.record))
        await world.stop()


if __name__ == "__main__":
    asyncio.run(Schedule(int(sys.argv[1]), "drain" in sys.argv).play())
