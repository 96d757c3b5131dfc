#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/, which is not tracked. It
# needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-standin-2 .
