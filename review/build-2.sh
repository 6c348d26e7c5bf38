#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of deploy/balancer.toml: the libraries of the project's
# other programs (extras of pyproject.toml) where they are missing, and the stand-ins, which need the standard library alone.
set -e
cd "$(dirname "$0")/.."
test -d .venv || python3 -m venv .venv
.venv/bin/python -c "import click, crc32c, msgspec, sortedcontainers, structlog, xxhash, yaml" 2>/dev/null && test -x .venv/bin/lichencleat ||
    .venv/bin/pip -q install '.[commands,file,store,fleet]'
.venv/bin/python -m compileall -q review/kit-2
