#!/bin/sh
# Builds the stand-ins that the cases start. Needs only the JDK; the project's own build is that of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build rig/*.java
