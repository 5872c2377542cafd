#!/usr/bin/env bash
# Plays the case "pending" (claim.txt). Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and review/build-3.sh.
set -u
cd "$(dirname "$0")/../.."
for program in lagoond lagoonlet stand3; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing: run the build of deploy/system.toml and review/build-3.sh"
    exit 2
  fi
done
# stand3 ends its processes by their ids; should it be killed, the kernel ends them.
timeout --kill-after=3 116 target/stand3 pending review/15/record.txt &
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
