#!/usr/bin/env bash
# Regenerates the committed protobuf classes. Run it manually after a change to citrontide.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.36.1
case "$(uname -m)" in
  x86_64|amd64) classifier=linux-x86_64 ;;
  aarch64|arm64) classifier=linux-aarch_64 ;;
  *) echo "protoc.sh: no protoc is published for the machine $(uname -m)" >&2; exit 2 ;;
esac
mvn -B -q dependency:copy -Dartifact="com.google.protobuf:protoc:$version:exe:$classifier" \
  -DoutputDirectory="$PWD/target/protoc" -Dmdep.overWriteReleases=true
tool="target/protoc/protoc-$version-$classifier.exe"
chmod +x "$tool"
rm -rf wire/src/main/java/org/citrontide/wire/generated
"$tool" --java_out=wire/src/main/java --proto_path=wire/src/main/proto citrontide.proto
