#!/bin/sh
# Builds the stand-ins that the cases 4 and later start. They need no module but the standard library.
set -e
cd "$(dirname "$0")/standin-2/platform"
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../../target/review-2/standin .
