#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" note "review/3/record.txt"
