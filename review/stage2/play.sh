#!/usr/bin/env bash
# Plays one case: play.sh NAME FOLDER. The record is written to FOLDER/record.txt. Exits with
# 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 plays the
# case without its disruption.
set -u
limit_s=115
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
for program in lagoond lagoonlet review-stage2; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
  fi
done
files=$(mktemp -d) || exit 2
player=
end() {
  # The processes that the player has started end with it.
  if [ -n "$player" ]; then kill -KILL "$player" 2>/dev/null; fi
  rm -rf "$files"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
TROUBLE=${TROUBLE:-1} target/review-stage2 "$name" "$files" "$folder/record.txt" &
player=$!
for ((i = 0; i < limit_s; i++)); do
  kill -0 "$player" 2>/dev/null || break
  sleep 1
done
if kill -0 "$player" 2>/dev/null; then
  echo "the case is not over after $limit_s s"
  exit 2
fi
wait "$player"
code=$?
player=
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
