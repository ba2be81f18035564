#!/usr/bin/env bash
# Makes the committed protobuf code anew. Needs protobuf-compiler 3.21; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/../src/libradishwire"
protoc --cpp_out=. fleet.proto
