"""A server leaves, all processes are killed, and a report of it arrives late."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import runner  # noqa: E402
import town as t  # noqa: E402

CONTACT_S = 3.0
DRAIN_PERIOD_S = 2.0
KILL_AFTER_S = 0.3
DOWN_S = 0.8
REPORT_LATE_S = 2.2
# After a final fault that took most of the core, machines are in touch later.
IN_TOUCH_S = 2 * CONTACT_S + 0.5
SERVES_ON_S = 14.0
LANES = 8
REQUESTS_PER_LANE = 8
WORK_S = 0.05


class Noting(t.Server):
    """A server that notes when each request has reached it."""

    def __init__(self, town, index):
        super().__init__(town, index, WORK_S)
        self.times = []

    async def handle(self, method, path, headers, body):
        self.times.append((t.now(), headers.get("request-id")))
        return await super().handle(method, path, headers, body)


async def deregister(town, server):
    answer = await t.call(town.address(server.ip, "control"), "DELETE",
                          "/quetzalloft/instances/" + server.instance)
    return answer.status if answer else None


async def kill_all(town, record):
    processes = town.replicas + town.nodes
    record.write("all processes are killed")
    for process in processes:
        process.signal(signal.SIGKILL)
    for process in processes:
        await process.wait()
    await asyncio.sleep(DOWN_S)
    for process in processes:
        settings = open(process.config, encoding="utf-8").read()
        with open(process.config, "w", encoding="utf-8") as out:
            out.write(settings.replace('"bootstrap": true', '"bootstrap": false'))
    await town.start()
    record.write("all processes are started again, with their disks")


async def lane(town, sent, answers):
    """Sends requests one after the other at the third machine."""
    for _ in range(REQUESTS_PER_LANE):
        request_id = t.new_id()
        sent.add(request_id)
        _, answer = await t.request(town, 2, "a.example", "/stock/1",
                                    request_id=request_id)
        status = answer.status if answer else None
        town.record.write("client gets %s for %s" % (status, request_id))
        answers.append(status)


async def case(record, troubled):
    town = t.Town(record, replicas=3, services=["stock", "stock", "shop"])
    try:
        await town.start()
        operator = t.Operator(town)
        first = t.config(5, [t.route("r-stock", "a.example", "/stock/", "stock"),
                             t.service("stock"), t.service("shop")])
        if await operator.put(first, 0) != 200:
            raise runner.CannotRun("the first configuration was not accepted")
        servers = [Noting(town, i) for i in range(3)]
        for server in servers:
            await server.start()
        if not await t.wait_ready(town):
            raise runner.CannotRun("a node is not ready")
        await asyncio.sleep(CONTACT_S + 1)
        stays, leaves = servers[0], servers[1]
        # It never says draining: it sends Deregister first and serves on.
        for task in leaves.tasks:
            task.cancel()
        leaves.sequence += 1
        late = leaves.sequence
        record.write("server %s sends report %d (ready), which will be late" % (
            leaves.instance, late))
        status = await deregister(town, leaves)
        left = t.now()
        record.write("server %s deregisters at its node: %s" % (leaves.instance, status))
        if status != 200:
            raise runner.CannotRun("the leave was not confirmed")
        await asyncio.sleep(KILL_AFTER_S)
        if troubled:
            await kill_all(town, record)
        await asyncio.sleep(max(0, left + REPORT_LATE_S - t.now()))
        record.write("report %d of %s arrives: %s" % (
            late, leaves.instance, await leaves.report(sequence=late, state="ready")))
        back = t.now()
        if not await t.wait_ready(town):
            raise runner.CannotRun("a node is not ready")
        await asyncio.sleep(max(0, back + IN_TOUCH_S - t.now()))
        sent, answers = set(), []
        await asyncio.gather(*(lane(town, sent, answers) for _ in range(LANES)))
        if answers.count(200) < len(answers) // 2:
            raise runner.CannotRun("only %d of %d requests were served" % (
                answers.count(200), len(answers)))
        if t.now() > left + SERVES_ON_S:
            raise runner.CannotRun("the server would have ended by now")
        reached = [at for at, request_id in leaves.times
                   if request_id in sent and at > left + DRAIN_PERIOD_S]
        record.write("%d requests reached %s, %d reached %s" % (
            len(reached), leaves.instance, len(stays.times), stays.instance))
        for server in servers:
            await server.stop()
        if not reached:
            return []
        return ["DRAIN: %d requests reached a server %.1f to %.1f s after a machine in "
                "touch acknowledged that it is gone" % (
                    len(reached), min(reached) - left, max(reached) - left)]
    finally:
        await town.stop()


runner.main(HERE, case)
