#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with the JDK that built the deploy file's program.
set -euo pipefail
cd "$(dirname "$0")/.."

jar=target/tamarackline-0.1.0-all.jar
[ -f "$jar" ] || build-tools/platform-runtime
java_home="$(build-tools/mvn --version 2>/dev/null | sed -n "s/.*runtime: //p")"
rm -rf target/review-2
mkdir -p target/review-2/classes
"$java_home/bin/javac" -nowarn -d target/review-2/classes -cp "$jar" review/standins-2/*.java
echo "$java_home" >target/review-2/java-home
