#!/bin/sh
# Executors carry out starts late, after they have crashed and started again; TROUBLE=0 plays neither.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-3.sh" "$folder" late_start
