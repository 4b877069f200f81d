#!/bin/sh
# The stand-ins are in Python and need no build. This checks that they can be read and that the gateway has been built.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import tomllib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
tomllib.loads(pathlib.Path("../deploy/balancer.toml").read_text())
PYTHON
