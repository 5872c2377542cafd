#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy
# file: one program that is the stand-in of the store, the minions, the advisor, the operator
# and the clients, and that starts lagoond and lagoonlet.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="-buildvcs=false -mod=readonly" GOPROXY=off
go build -tags review -o target/review-stage2 ./review/stage2/platform
