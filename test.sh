#!/usr/bin/env bash
# Format check, vet, staticcheck, build and tests, but for those that KNOWN-RED.txt names. Needs Go and its module proxy: no kit.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt wants: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod staticcheck -checks all ./...
go build ./...
# Real processes in real time run beside no other package of ours.
also=(rehearsal/live)
red=$(./known-red.sh KNOWN-RED.txt .)
rest=$(go list ./... | grep -vx coursewinch/rehearsal/live)
while read -r package name; do
	[ -n "$package" ] || continue
	rest=$(grep -vx "coursewinch/$package" <<<"$rest" || true)
	also+=("$package")
done <<<"$red"
go test -count=1 $rest
# Each package with such a test by itself: the same name in another one is run there.
for package in $(printf '%s\n' "${also[@]:-}" | sort -u); do
	names=$(awk -v p="$package" '$1 == p {print $2}' <<<"$red" | paste -sd'|')
	go test -count=1 -skip "^($names)\$" "./$package"
done
# Where goroutines share memory, outside the loop: what the race detector finds is an error.
go test -race -count=1 ./epoll ./node ./lines ./handover ./capture
