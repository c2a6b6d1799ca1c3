#!/bin/sh
# Compiles the stand-ins of review/rig-3 into target/review-3, with the newest JDK found (21 or newer). Uses no library.
set -eu
cd "$(dirname "$0")/.."
javac=""
newest=0
for j in "${JAVA_HOME:-/nonexistent}/bin/javac" /usr/lib/jvm/*/bin/javac; do
  [ -x "$j" ] || continue
  v=$("$j" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p')
  [ "${v:-0}" -gt "$newest" ] && { newest=$v; javac=$j; }
done
[ "$newest" -ge 21 ] || { echo "review/build-3.sh: no JDK 21 or newer found" >&2; exit 1; }
rm -rf target/review-3
mkdir -p target/review-3
"$javac" --release 21 -Xlint:all -Werror -d target/review-3 review/rig-3/*.java
