#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK alone; run after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/rig-2/src/rig2/*.java
