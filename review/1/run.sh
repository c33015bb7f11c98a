#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && TROUBLE="${TROUBLE:-1}" exec python3 review/1/case.py
