#!/bin/sh
# Runs this case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$here/../bin/stand-in" ] || [ ! -x "$root/target/release/walnutline" ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first"
    exit 2
fi
rm -f "$here/record.txt.pids"
"$here/../bin/stand-in" forgotten-connection "$here/record.txt" "$root" &
stand_in=$!
trap 'kill -KILL $stand_in $(cat "$here/record.txt.pids" 2>/dev/null); exit 2' HUP INT TERM
wait $stand_in
