#!/usr/bin/env bash
# Runs the case whose folder and main class are given: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -uo pipefail
case_dir=$(cd "$1" && pwd) || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. review/rig-2/jdk.sh
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] ||
  { echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec "$jdk/bin/java" -Xmx512m -cp "target/review-2:dist/target/lib/*" "review2.$2" "$PWD" "$case_dir"
