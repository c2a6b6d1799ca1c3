#!/bin/sh
# Builds the stand-ins of the cases into review/target, with the newest JDK found, as deploy/image does.
# The stand-ins use the JDK alone; no jar of the project is on their class path.
set -eu
cd "$(dirname "$0")"
jdk=""
newest=0
for j in "${JAVA_HOME:-/nonexistent}/bin/javac" /usr/lib/jvm/*/bin/javac; do
  [ -x "$j" ] || continue
  v=$("$j" -version 2>&1 | sed 's/[^0-9]*\([0-9]*\).*/\1/')
  [ "$v" -gt "$newest" ] && { newest=$v; jdk=$(dirname "$j"); }
done
[ "$newest" -ge 21 ] || { echo "review/build.sh: no JDK 21 or newer found" >&2; exit 1; }
rm -rf target
mkdir -p target/classes
"$jdk/javac" --release 21 -Xlint:all -d target/classes src/org/citrontide/review/*.java
printf '%s\n' "$jdk/java" > target/java
