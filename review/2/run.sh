#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" shutdown "review/2/record.txt"
