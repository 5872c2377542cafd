#!/usr/bin/env bash
# Builds what the scripts of the review start. It needs no network: the packages are those
# of the project.
set -eu
cd "$(dirname "$0")/.."
export GOFLAGS="-buildvcs=false -mod=readonly" GOPROXY=off
go build -ldflags=-linkmode=external -o target/ ./cmd/lagoond ./cmd/lagoonlet
go build -tags review -o target/review-stand ./review/platform
