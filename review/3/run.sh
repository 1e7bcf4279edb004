#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/spoilt ] || [ ! -x target/release/llm-router ]; then
    echo "build the router (deploy/balancer.toml) and run review/build.sh first" >&2
    exit 2
fi
target/review/spoilt "review/3/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
