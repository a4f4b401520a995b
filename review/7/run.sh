#!/bin/sh
# Case 7 of the review; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. Writes record.txt beside it: what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/target/puffinbarrow.jar" ] || [ ! -d "$here/../platform/build" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx512m -cp "$here/../platform/build" platform.Cases 7 "$here/record.txt" "$root"
