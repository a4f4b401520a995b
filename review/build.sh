#!/bin/sh
# Builds the stand-ins that the cases start, with the JDK alone; the project itself is built by the deploy file's build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build standin/review/*.java
