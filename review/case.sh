#!/usr/bin/env bash
# Plays the case NAME and writes its record into review/FOLDER: case.sh NAME FOLDER.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/lagoond target/lagoonlet target/review-stand; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
tmp=$(mktemp -d) || exit 2

# finish ends what is left of the processes that this case started, by their ids.
finish() {
  if [ -n "${stand:-}" ] && kill -0 "$stand" 2>/dev/null; then
    kill -KILL "$stand" 2>/dev/null
  fi
  while read -r pid; do
    if grep -qsF "$tmp" "/proc/$pid/cmdline"; then
      kill -KILL "$pid" 2>/dev/null
    fi
  done < <(cat "$tmp/pids" 2>/dev/null)
  [ -n "${KEEP_LOGS:-}" ] && cp "$tmp"/*.log "$KEEP_LOGS"/ 2>/dev/null
  rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

CASE_TMP="$tmp" target/review-stand "$1" "review/$2" &
stand=$!
for _ in $(seq 1150); do
  if ! kill -0 "$stand" 2>/dev/null; then
    wait "$stand"
    status=$?
    stand=
    [ "$status" -le 1 ] && exit "$status"
    exit 2
  fi
  sleep 0.1
done
echo "the case took longer than 115 s"
exit 2
