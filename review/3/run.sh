#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
exec python3 -B "$(dirname "$0")/case.py"
