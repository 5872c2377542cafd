#!/usr/bin/env bash
# Plays the case "pending" (claim.txt). Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out; KEEP=1 keeps the logs. Needs the
# build of deploy/system.toml and review/build-3.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in lagoond lagoonlet stand3; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing: run the build of deploy/system.toml and review/build-3.sh"
    exit 2
  fi
done
folder=$(mktemp -d) || exit 2
trap '[ -n "${KEEP:-}" ] || rm -rf "$folder"' EXIT
# stand3 ends its processes by their ids; should it be killed, the kernel ends them with it.
TMPDIR="$folder" timeout --kill-after=3 116 target/stand3 pending review/15/record.txt &
player=$!
trap 'kill "$player" 2>/dev/null' INT TERM HUP
wait "$player"
status=$?
if [ "$status" -gt 1 ]; then
  # A signal to this script ends the wait: wait for the player too.
  wait "$player" 2>/dev/null
  exit 2
fi
exit "$status"
