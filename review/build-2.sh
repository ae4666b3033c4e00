#!/bin/sh
# What the cases from review/6 on start: the project's gateway, its storage nodes and its platform stand-ins.
# Run once from the root, after the build line of deploy/balancer.toml, with the package mirrors at hand.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/harriertrack --help >/dev/null 2>&1 || .venv/bin/pip -q install -e .
.venv/bin/python -m compileall -q harriertrack
