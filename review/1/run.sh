#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../bin/standin" --root "$here/../.." --record "$here/record.txt" stop-at-full
