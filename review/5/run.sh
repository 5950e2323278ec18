#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" server-leaving 5
