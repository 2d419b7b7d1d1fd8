#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-3 && GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standin-3 .)

# Case 14 uses the stand-in of the second review with another script.
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in review/standin-2/*.go.txt review/standin-3/takeover/*.go.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
go build -o target/review-takeover-3 "$src"/*.go
