#!/bin/sh
# Plays a case: run.sh NAME FOLDER. The front node is started by the deploy file's `run` command, from the project's root.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN
if [ ! -x target/review-2/case ] || [ ! -x target/release/walnutline ]; then
    echo "case could not run: build by the deploy file and review/build-2.sh first" >&2
    exit 2
fi
exec target/review-2/case "$1" "${TROUBLE:-1}" "$folder/record.txt"
