#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of deploy/balancer.toml: the libraries of the project's
# other programs (the extras of pyproject.toml, which README.md names) where they are missing, and the stand-ins, which need
# the standard library alone. Without the extras, a case that needs them ends with exit code 2.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c "import click, crc32c, msgspec, sortedcontainers, structlog, xxhash, yaml" 2>/dev/null ||
    .venv/bin/pip -q install '.[commands,file,store,fleet]'
exec .venv/bin/python -m compileall -q review/kit-2 review/6 review/7 review/8 review/9 review/10
