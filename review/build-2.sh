#!/usr/bin/env bash
# Compiles the stand-ins of the second review; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_2.py
for number in 6 7 8 9 10; do
    python3 -m py_compile "$number/case.py"
done
