#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
classes=target/review-2/classes
[ -x target/runtime/bin/java ] && [ -f "$classes/Cases.class" ] && [ -f target/review-2/java-home ] || exit 2
java="$(cat target/review-2/java-home)/bin/java"
timeout -k 3 115 "$java" -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp "$classes:target/tamarackline-0.1.0-all.jar" Cases LimitCase review/9/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
