#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 -B review/8/case.py
