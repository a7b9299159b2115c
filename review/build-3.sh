#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

java_home="$(build-tools/mvn --version 2>/dev/null | sed -n "s/.*runtime: //p")"
rm -rf target/review-3
mkdir -p target/review-3
"$java_home/bin/javac" -d target/review-3 -cp target/tamarackline-0.1.0-all.jar review/standins-3/*.java
