#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin/platform"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../bin/standin .
