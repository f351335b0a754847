#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start. Needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
mkdir -p ../../bin
GOFLAGS=-mod=mod GOWORK=off go build -o ../../bin/review2 .
