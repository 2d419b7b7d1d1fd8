#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jacinththread-entry ] && [ -x review/bin/standin ] || { echo "build the daemon and review/build.sh first" >&2; exit 2; }
exec review/bin/standin order review/2
