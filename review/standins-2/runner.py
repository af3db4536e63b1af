"""Runs a case and turns its outcome into the exit status of run.sh."""

import asyncio
import os
import sys

from town import Record


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case):
    """Runs case(record, troubled), which returns a list of breaks."""
    record = Record(os.path.join(folder, "record.txt"))
    troubled = is_troubled()
    record.write("the disruption is %s" % ("on" if troubled else "off"))
    try:
        breaks = asyncio.run(case(record, troubled))
    except CannotRun as reason:
        record.write("the case could not run: %s" % reason)
        print("could not run: %s" % reason)
        sys.exit(2)
    except Exception as problem:  # any failure of the stand-ins themselves
        record.write("the case could not run: %r" % problem)
        print("could not run: %r" % problem)
        sys.exit(2)
    for line in breaks:
        record.write("BROKEN: " + line)
        print("BROKEN: " + line)
    if not breaks:
        record.write("the rule held")
        print("the rule held")
    sys.exit(1 if breaks else 0)
