#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" memory "review/1/record.txt"
