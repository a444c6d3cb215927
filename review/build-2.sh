#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of deploy/service.toml; needs no network.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/world2 ./review/_world2
