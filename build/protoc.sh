#!/usr/bin/env bash
# Regenerates the committed protobuf classes. Run it manually after a change to citrontide.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
version=4.36.2
mvn -B -q dependency:copy -Dartifact="com.google.protobuf:protoc:$version:exe:linux-x86_64" \
  -DoutputDirectory="$PWD/target/protoc" -Dmdep.overWriteReleases=true
tool="target/protoc/protoc-$version-linux-x86_64.exe"
chmod +x "$tool"
rm -rf wire/src/main/java/org/citrontide/wire/generated
"$tool" --java_out=wire/src/main/java --proto_path=wire/src/main/proto citrontide.proto
