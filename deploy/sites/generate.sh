#!/bin/sh
# Writes variants of a deployment for the bench: other customers, whose names, shares, limits and costs the coordinators
# must take from the settings alone. Nothing of the kit is kept here: a variant is a list of changes (variants/*.changes),
# a line each: SECTION NUMBER KEY = VALUE, where NUMBER counts sections of that name from 1. Each goes into an ignored
# folder of its own, made/VARIANT, with the names on the sockets, the wire and the unlock lines beside it.
#
#     deploy/sites/generate.sh FOLDER      FOLDER holds a site (*.toml), real.json, wire.json and unlock.txt
set -eu
here=$(cd "$(dirname "$0")" && pwd)
if [ $# -ne 1 ]; then
    echo "usage: $0 FOLDER" >&2
    exit 2
fi
site=
for file in "$1"/*.toml; do
    site=$file
done
for file in "$site" "$1/real.json" "$1/wire.json" "$1/unlock.txt"; do
    if [ ! -f "$file" ]; then
        echo "$0: the kit is missing: no file $file" >&2
        exit 2
    fi
done
for changes in "$here"/variants/*.changes; do
    name=$(basename "$changes" .changes)
    made=$here/made/$name
    mkdir -p "$made"
    cp "$1/real.json" "$1/wire.json" "$1/unlock.txt" "$made/"
    # A change that meets no line of the site is a mistake: the variant would not be what its file says.
    awk -v changes="$changes" '
        BEGIN {
            while ((getline line < changes) > 0) {
                if (line ~ /^ *(#|$)/) continue
                at = index(line, " = ")
                value[substr(line, 1, at - 1)] = substr(line, at + 3)
            }
            section = "top"; number = 1
        }
        /^\[/ { section = $0; gsub(/[][]/, "", section); number = ++seen[section] }
        {
            key = section " " number " " $1
            if ($2 == "=" && key in value) { print $1 " = " value[key]; delete value[key] } else print
        }
        END {
            for (key in value) { print "no line for: " key > "/dev/stderr"; missing = 1 }
            exit missing
        }' "$site" > "$made/$name.toml" || { echo "$0: $name: the site has other lines" >&2; exit 1; }
    echo "$made/$name.toml"
done
