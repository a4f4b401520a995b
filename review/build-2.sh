#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/platform/build, with the JDK alone. The project's own build is
# that of deploy/balancer.toml and comes before.
set -eu
cd "$(dirname "$0")/platform"
rm -rf build
mkdir build
javac --release 17 -Xlint:all -Werror -encoding UTF-8 -d build src/platform/*.java
