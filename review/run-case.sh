#!/usr/bin/env bash
# Runs one case: `run-case.sh N TROUBLE`. Called by N/run.sh, which reads the
# variable TROUBLE; 0 leaves the disruption out. Exit code: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
program=$review/target/case-$1
trouble=$2
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/endiveward" ] ||
    [ ! -x "$root/target/bin/endiveward-agent" ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
timeout -k 2 115 "$program" "$root" "$review/$1" "$trouble"
code=$?
[ "$code" -le 1 ] || code=2
echo "case $1, TROUBLE=$trouble: exit code $code"
exit "$code"
