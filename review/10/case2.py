"""Invalid configurations whose names aren't plain ASCII."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import runner  # noqa: E402
import town as t  # noqa: E402


def invalid_changes(letter):
    """Two configurations that PROTOCOL lists as invalid, as (why, resources)."""
    long_service = "x" + letter * 300
    long_name = "x" + letter * 120
    unknown = t.route("r-new", "b.example", "/new/", None,
                      trafficSplit=[{"service": long_service, "weight": 1}])
    bad_kind = t.route(long_name, "b.example", "/new/", "stock", "sometimes")
    return [("a route names an unknown service", unknown),
            ("a kind is not one of those named", bad_kind)]


async def case(record, troubled):
    town = t.Town(record, replicas=3, services=["stock"])
    breaks = []
    try:
        await town.start()
        operator = t.Operator(town)
        base = [t.route("r-stock", "a.example", "/stock/", "stock"),
                t.service("stock")]
        if await operator.put(t.config(5, base), 0) != 200:
            raise runner.CannotRun("the first configuration was not accepted")
        await asyncio.sleep(1)
        # Two letters of one byte in place of one letter of two bytes.
        letter = "\u00f5" if troubled else "oo"
        for why, route in invalid_changes(letter):
            status = await operator.put(t.config(7, base + [route]), 5)
            record.write("invalid (%s): the operator gets %s" % (why, status))
            if status == 200:
                breaks.append("CONFIG: an invalid configuration is acknowledged: " + why)
            elif status is None or not 400 <= status < 500:
                raise runner.CannotRun("no clear answer to an invalid configuration")
        read = await operator.get()
        if read is None:
            raise runner.CannotRun("the configuration could not be read")
        if breaks and read["version"] < 7:
            breaks.append("CONFIG: read back, the configuration is version %s, older "
                          "than the newest acknowledged one, 7" % read["version"])
        return breaks
    finally:
        await town.stop()


runner.main(HERE, case)
