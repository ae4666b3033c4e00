#!/bin/sh
# What the cases from review/6 on start: the project's gateway, its storage node and the platform's stand-ins.
# Run once, after the build line of deploy/balancer.toml. That line installs what the platform's head needs; the
# gateway's packages (pyproject.toml) are installed here if the package mirrors are at hand. Without them nothing
# fails: review/6 then starts the gateway's head and node by review/6/offline.py.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/harriertrack --help >/dev/null 2>&1 || .venv/bin/pip -q --retries 1 --timeout 5 install -e . ||
    echo "the gateway's packages can't be installed: review/6 does without" >&2
.venv/bin/python -c 'import greenlet, httptools, msgspec' || exit 2
.venv/bin/python -m compileall -q harriertrack review/common review/[0-9]* || exit 2
