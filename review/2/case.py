"""A server that deregistered gets requests again after its node restarted.

The last status report of the server arrives late. The node that confirmed the
Deregister knows that the report is old; the node that was started since takes
it for that of a new server.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

import fleet as f  # noqa: E402

HOST = "shop.example"
REPORT_LATE_S = 2.5
RESTART_DELAY_S = 0.5
SERVES_ON_S = 14.0
REQUEST_INTERVAL_S = 0.03


async def send_requests(fleet, machine, stop):
    """Sends lookups to the node of a machine, one after the other."""
    reader = writer = None
    while not stop.is_set():
        request_id = f.new_id()
        try:
            if not writer:
                reader, writer = await asyncio.open_connection(
                    machine.ip, 8304)
            writer.write(f.client_request(HOST, "/parts/20/200", 5000,
                                          request_id))
            status, headers, body = await asyncio.wait_for(
                f.read_response(reader), 6)
            whole = status == 200 and f.is_whole(request_id, headers, body)
            fleet.record("client", id=request_id, status=status, whole=whole)
            if headers.get("connection") == "close":
                writer.close()
                writer = None
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            fleet.record("client", id=request_id, error=repr(error))
            if writer:
                writer.close()
            writer = None
        await asyncio.sleep(REQUEST_INTERVAL_S)
    if writer:
        writer.close()


async def case(fleet):
    core = [fleet.add_machine("core", zone=zone) for zone in fleet.zones]
    caller = fleet.add_machine("sidecar", "front", "zone-a")
    leaving = fleet.add_machine("sidecar", "catalogue", "zone-a")
    staying = fleet.add_machine("sidecar", "catalogue", "zone-b")
    sides = [caller, leaving, staying]
    servers = {}
    for machine in core + sides:
        await machine.start()
    for machine in sides:
        servers[machine] = f.Server(fleet, machine)
        await servers[machine].start()
    version = f.document(
        1, [f.route("r-parts", HOST, "/parts/", "catalogue")],
        ["front", "catalogue"])
    if await fleet.put_config(version, 0) != 200:
        raise f.CaseError("the configuration was refused")
    beats = {machine: fleet.spawn(server.report_regularly())
             for machine, server in servers.items()}
    await fleet.wait_ready(sides)
    stop = asyncio.Event()
    client = fleet.spawn(send_requests(fleet, caller, stop))
    server = servers[leaving]
    end = time.monotonic() + 20
    while len(server.runs) < 10:
        if time.monotonic() > end:
            raise f.CaseError("the server gets no requests")
        await asyncio.sleep(0.1)

    # The server leaves: its last report is late, the Deregister is not.
    beats[leaving].cancel()
    late_report = server.beat()
    fleet.record("late-report-sent", server=server.id)
    status = await server.deregister()
    confirmed = time.monotonic()
    if status != 200:
        raise f.CaseError("the Deregister was not confirmed: %d" % status)
    started = confirmed - f.CONTACT_S
    if f.trouble():
        leaving.send_signal(f.signal.SIGKILL)
        await leaving.wait_end()
        await asyncio.sleep(RESTART_DELAY_S)
        started = time.monotonic()
        await leaving.start()
    await asyncio.sleep(confirmed + REPORT_LATE_S - time.monotonic())
    status = 0
    while status != 200:
        status = await server.send_report(late_report)
        if not status:
            await asyncio.sleep(0.2)
    await asyncio.sleep(confirmed + SERVES_ON_S - time.monotonic())
    stop.set()
    await client

    # Both nodes on the way are in touch, and drainPeriod is over.
    from_s = max(confirmed + f.DRAIN_PERIOD_S, started + f.CONTACT_S)
    late = [run for run in server.runs if run["at"] > from_s]
    fleet.record("verdict", runs=len(server.runs), runs_after_drain=len(late))
    print("requests that reached the server over drainPeriod after its "
          "Deregister was confirmed: %d" % len(late))
    return f.BROKEN if late else f.HELD


f.main(case, HERE)
