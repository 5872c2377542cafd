#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file:
# one program, which is the stand-in of the platform, the minions and the clients, and starts
# lagoond and lagoonlet. It needs no network: the packages are those of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="-buildvcs=false -mod=readonly" GOPROXY=off
go build -tags review -o target/stand3 ./review/stand3/platform
