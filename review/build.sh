#!/bin/sh
# Builds the stand-ins of the scripts. It needs no network and no module besides the
# standard library.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
