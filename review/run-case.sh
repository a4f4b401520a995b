#!/bin/sh
# run-case.sh CLASS FOLDER: plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. WITHOUT names single disruptions to leave out, where the case has several.
set -u
class=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
[ -f target/puffinbarrow.jar ] && [ -d review/build ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
java -Xmx768m -XX:+UseSerialGC -cp review/build "review.$class" "review/$folder" "$temporary" &
player=$!
finish() {
  kill -KILL "$player" 2>/dev/null
  # The player ends its coordinators itself; this is for one that was ended from outside.
  for pid in $(cat "$temporary/pids" 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null
  done
  mkdir -p "review/$folder/logs"
  for log in "$temporary"/n*/log*; do
    [ -f "$log" ] && cp "$log" "review/$folder/logs/$(basename "$(dirname "$log")")-$(basename "$log")"
  done
  rm -rf "$temporary"
}
trap 'finish; exit 2' INT TERM HUP
wait "$player"
code=$?
finish
[ "$code" -le 2 ] || code=2
exit "$code"
