#!/usr/bin/env bash
# Serves a request end to end with separate processes.
exec tools/scripts/run-local.sh --no-build
