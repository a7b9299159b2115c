#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

java_home="$(build-tools/mvn --version 2>/dev/null | sed -n "s/.*runtime: //p")"
rm -rf target/review
mkdir -p target/review
"$java_home/bin/javac" -cp target/tamarackline-0.1.0-all.jar -d target/review review/*.java
echo "$java_home" >target/review/java-home
