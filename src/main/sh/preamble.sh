#!/bin/sh
# Starts the jar that is appended to this script. The memory flags keep the resident set of a node below 256 MB.
required_version=21

jdk_version() {
  sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null
}

java_home=""
best_version=0
if [ -n "$JAVA_HOME" ] && [ -x "$JAVA_HOME/bin/java" ]; then
  version="$(jdk_version "$JAVA_HOME")"
  if [ "${version:-0}" -ge "$required_version" ]; then
    java_home="$JAVA_HOME"
    best_version="$version"
  fi
fi
if [ -z "$java_home" ]; then
  for home in /usr/lib/jvm/*/; do
    home="${home%/}"
    [ -x "$home/bin/java" ] || continue
    version="$(jdk_version "$home")"
    if [ "${version:-0}" -gt "$best_version" ]; then
      java_home="$home"
      best_version="$version"
    fi
  done
fi
if [ "$best_version" -lt "$required_version" ]; then
  echo "No Java $required_version or later found: set JAVA_HOME to one, or install one under /usr/lib/jvm." >&2
  exit 2
fi

# Java 23 and later print a warning when two libraries use sun.misc.Unsafe for memory access, unless it is allowed.
memory_access=""
if [ "$best_version" -ge 23 ]; then
  memory_access="--sun-misc-unsafe-memory-access=allow"
fi

exec "$java_home/bin/java" ${TAMARACKLINE_JAVA_FLAGS:--Xmx96m -XX:+UseSerialGC -XX:MaxMetaspaceSize=96m -XX:ReservedCodeCacheSize=48m -Xss512k -XX:TieredStopAtLevel=1} $memory_access -jar "$0" "$@"
exit 1
