#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs Go and no network: the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
CGO_ENABLED=0 GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standins .
