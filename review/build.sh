#!/bin/sh
# Builds the stand-ins that the cases start. They use Go's standard library alone.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -o ../.build/stand .
