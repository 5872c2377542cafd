#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/stand3 ./review/stand3
