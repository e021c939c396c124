#!/bin/sh
# The stand-ins of cases 6 to 10 are Python 3 programs of the standard library (`lib-2/fleet.py`, which
# uses the project's `tests/soak/stand_ins.py`): there is nothing to compile. Checks that they load.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' lib-2/fleet.py ../tests/soak/stand_ins.py [0-9]*/case.py
