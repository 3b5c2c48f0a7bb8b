#!/bin/sh
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 review/5/case.py
