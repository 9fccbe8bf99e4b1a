#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review -cp target/graderelay.jar review/standins/*.java
