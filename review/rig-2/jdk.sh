# Sets jdk to the newest JDK of version 21 or newer; for sourcing.
jdk=""
newest=0
for j in "${JAVA_HOME:-/nonexistent}" /usr/lib/jvm/*; do
  [ -x "$j/bin/javac" ] || continue
  v=$("$j/bin/java" -version 2>&1 | sed -n '1s/.*version "\([0-9]*\).*/\1/p')
  [ "${v:-0}" -gt "$newest" ] && { newest=$v; jdk=$j; }
done
[ "$newest" -ge 21 ] || { echo "no JDK 21 or newer found" >&2; exit 2; }
