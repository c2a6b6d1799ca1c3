#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into target/review-2. Needs the build of deploy/system.toml before it.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. review/rig-2/jdk.sh
# The project's own stand-ins are among the jars of dist, which the build of the deploy file makes too.
ls dist/target/lib/citrontide-fakes-*.jar >/dev/null 2>&1 || mvn -B -q -o -DskipTests package
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/rig-2/*.java)
for f in review/[0-9]*/*.java; do
  n=$(basename "$(dirname "$f")")
  [ "$n" -ge 6 ] && sources+=("$f")
done
"$jdk/bin/javac" -nowarn -encoding UTF-8 -d target/review-2 -cp "dist/target/lib/*" "${sources[@]}"
