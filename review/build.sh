#!/bin/sh
# Builds what the scripts of the cases start besides the instances: the
# stand-ins are plain Python of the standard library, so they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness.py */case.py
