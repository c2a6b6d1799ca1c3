#!/bin/sh
# Plays one case: run.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
set -u
class=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/runtime/bin/java ] || [ ! -f "target/review-3/$class.class" ]; then
  echo "not built: run the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
child=""
stop() {
  [ -z "$child" ] || kill "$child" 2>/dev/null
  rm -rf "$folder"
}
trap 'stop; exit 2' INT TERM HUP
target/runtime/bin/java -cp target/review-3 "$class" "$PWD" "$folder" "$case_folder/record.txt" &
child=$!
wait "$child"
status=$?
child=""
[ "${KEEP_LOG:-}" = "" ] || cp "$folder"/*.log "$case_folder/"
stop
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
