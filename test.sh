#!/usr/bin/env bash
# Format check, vet, build and tests. Needs Go alone: no kit, no network.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt wants: $unformatted" >&2
	exit 1
fi
go vet ./...
go build ./...
go test -count=1 ./...
