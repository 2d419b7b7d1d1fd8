#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, into target/. The sources have another suffix, so that
# they are part of neither the build nor the tests of the repository. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in review/standin-2/*.go.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
mkdir -p target/review-2
go build -o target/review-2/standin "$src"/*.go
