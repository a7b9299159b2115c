#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."

[ -f target/review/java-home ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout --kill-after=3 116 "$(cat target/review/java-home)/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp target/review:target/tamarackline-0.1.0-all.jar \
  Main "$2" "$1/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
