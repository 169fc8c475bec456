#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, without a network. Needs a JDK 17.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
