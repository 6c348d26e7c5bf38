"""Kills `lichencleat store put` under load, again and again on one store; each printed key has to be stored.

python -m tests.store.kill --times 100
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import threading

import click

COMMAND = [sys.executable, "-m", "lichencleat", "store"]
KEYS = 400  # rewritten repeatedly, so that segments are compacted meanwhile


def write_lines(pipe, turn, rng):
    """Write lines until the reading process is killed."""
    try:
        for n in range(1_000_000):
            key = f"k{rng.randrange(KEYS)}"
            pipe.write(
                json.dumps({"key": key, "value": f"{turn}.{n}.{key}" + "x" * rng.randrange(900)}).encode()
                + b"\n"
            )
            if n % 10 == 0:
                pipe.flush()
    except (BrokenPipeError, ValueError):
        pass


def put_until_killed(directory, turn, lines, rng):
    """Run `put` and kill it after it has printed `lines` keys.

    Returns the printed keys, and the keys and values written to it, as many and in order.
    """
    seed = rng.random()
    put = subprocess.Popen([*COMMAND, "put", directory], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    writer = threading.Thread(target=write_lines, args=(put.stdin, turn, random.Random(seed)))
    writer.start()
    printed = [put.stdout.readline().decode().strip() for _ in range(lines)]
    put.kill()
    printed += put.stdout.read().decode().split("\n")[:-1]  # without an incomplete last line
    put.wait()
    writer.join()
    put.stdout.close()
    replayed_rng, written = random.Random(seed), []
    for n in range(len(printed)):
        key = f"k{replayed_rng.randrange(KEYS)}"
        written.append((key, f"{turn}.{n}.{key}" + "x" * replayed_rng.randrange(900)))
    return printed, written


def run(times, seed, on_turn=lambda turn, printed: None):
    """Kill `times` times; returns the violations: keys that were printed but are not stored."""
    rng = random.Random(seed)
    violations, confirmed = [], {}
    with tempfile.TemporaryDirectory() as temporary_directory:
        directory = os.path.join(temporary_directory, "store")
        for turn in range(times):
            printed, written = put_until_killed(directory, turn, rng.randrange(1, 3_000), rng)
            if printed != [key for key, _ in written]:
                violations.append(f"turn {turn}: printed other keys than were written")
            confirmed.update(written)
            dump = subprocess.run([*COMMAND, "dump", directory], capture_output=True, text=True, check=True)
            found = {row["key"]: row["value"] for row in map(json.loads, dump.stdout.splitlines())}
            for key, value in confirmed.items():
                found_value = found.get(key, "")
                # a later write than the last printed may be stored
                is_later = found_value.startswith(f"{turn}.") and int(found_value.split(".")[1]) >= len(
                    printed
                )
                if found_value != value and not is_later:
                    violations.append(f"turn {turn}: {key} reads {found_value:.30}, confirmed {value:.30}")
            confirmed = found
            on_turn(turn, len(printed))
        check = subprocess.run([*COMMAND, "check", directory], capture_output=True, text=True)
        if check.returncode:
            violations.append(check.stdout)
    return violations


@click.command()
@click.option("--times", type=click.IntRange(min=1), default=100)
@click.option("--seed", type=int, default=1)
def main(times, seed):
    total = 0

    def on_turn(turn, printed):
        nonlocal total
        total += printed
        click.echo(f"\r{turn + 1} kills, {total} keys printed", nl=False, err=True)

    violations = run(times, seed, on_turn)
    for each in violations[:10]:
        click.echo(f"VIOLATION {each}")
    click.echo(f"{times} kills, {total} keys printed as confirmed, {len(violations)} violations")
    raise SystemExit(1 if violations else 0)


if __name__ == "__main__":
    main()
