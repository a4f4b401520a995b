#!/bin/sh
# run-case.sh CLASS FOLDER RECORD: plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. WITHOUT names single disruptions to leave out, where the case has several.
set -u
class=$1
folder=$2
record=$3
cd "$(dirname "$0")/.." || exit 2
[ -f target/puffinbarrow.jar ] && [ -d review/build ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
rm -f "$record"
java -Xmx768m -XX:+UseSerialGC -cp review/build "review.$class" "$record" "$temporary" &
player=$!
finish() {
  # On TERM the player ends its coordinators; the rest is for one that could not, and returns when all are gone.
  kill -TERM "$player" 2>/dev/null
  for pid in "$player" $(cat "$temporary/pids" 2>/dev/null); do
    tries=0
    while kill -0 "$pid" 2>/dev/null && [ $tries -lt 50 ]; do
      [ $tries -ne 30 ] || kill -KILL "$pid" 2>/dev/null
      sleep 0.1
      tries=$((tries + 1))
    done
  done
  mkdir -p "$folder/logs"
  for log in "$temporary"/n*/log*; do
    [ -f "$log" ] && cp "$log" "$folder/logs/$(basename "$(dirname "$log")")-$(basename "$log")"
  done
  rm -rf "$temporary"
}
trap 'finish; exit 2' INT TERM HUP
wait "$player"
code=$?
finish
[ "$code" -le 2 ] || code=2
exit "$code"
