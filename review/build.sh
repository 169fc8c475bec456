#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review; needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
rm -rf build
mkdir -p build
javac -Xlint:all -d build standins/review/*.java
