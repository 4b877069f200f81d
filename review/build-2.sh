#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of the deploy file: their stand-ins are Python, so it only
# checks that they compile, and that the gateway has been built.
cd "$(dirname "$0")/.." || exit 1
for source in review/standins-2/*.py review/[6-9]/case.py review/10/case.py; do
    [ -f "$source" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source" || exit 1
done
if [ ! -f gateway/target/tinford.jar ]; then
    echo "build-2: gateway/target/tinford.jar is missing; run the line build of deploy/balancer.toml first" >&2
    exit 1
fi
