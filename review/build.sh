#!/bin/sh
# Prepares what the cases start: the head by the line `build` of the deploy file, and the stand-ins of review/common.
# The stand-ins are Python of the standard library; nothing is installed for them. It runs after the build of the
# deploy file and needs no network.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -c 'import greenlet, httptools, msgspec' || exit 2
.venv/bin/python -m compileall -q review/common review/[0-9]* || exit 2
