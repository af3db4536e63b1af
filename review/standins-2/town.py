"""A small deployment on loopback: the project's own processes, started with the
commands of deploy/system.toml and settings made from its templates, and
stand-ins for the platform, the servers and the clients.

Everything runs in one asyncio loop. Each machine has an address of its own in
127.0.0.0/8, as the pages give every machine an address and the same ports.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/src/node/quetzalloftd"
BOUNDS = {"retryBudgetRatio": 0.2, "grace": "6s"}


def now():
    return time.monotonic()


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))
        self.file.flush()


def free_ports(addresses, count):
    """Consecutive ports that no address has in use."""
    while True:
        base = random.randrange(21000, 31000)
        try:
            for address in addresses:
                for port in range(base, base + count):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((address, port))
            return base
        except OSError:
            continue


def render(template, fields):
    """Fills in the sections and placeholders that the two templates use."""

    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)]
            elif isinstance(scope, dict):
                scope = scope.get(part)
            else:
                return None
        return scope

    def section(match):
        content = value(match.group(1), fields)
        if content is None or content is False or content == []:
            return ""
        if not isinstance(content, list):
            return match.group(2)
        parts = []
        for index, entry in enumerate(content):
            part = match.group(2).replace("{{.}}", str(entry))
            last = index + 1 == len(content)
            parts.append(part.replace("{{,}}", "" if last else ","))
        return "".join(parts)

    def placeholder(match):
        content = value(match.group(1), fields)
        if match.group(2):
            return json.dumps(content)
        return "" if content is None else str(content)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Process:
    """One process of the system; its log goes to a file."""

    def __init__(self, name, folder, settings):
        self.name = name
        self.config = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.child = None
        with open(self.config, "w", encoding="utf-8") as out:
            out.write(settings)

    async def start(self):
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                PROGRAM, "--config", self.config, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": tempfile.gettempdir(), "LANG": "C"})

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    def ended(self):
        return self.child is not None and self.child.returncode is not None

    async def wait(self):
        await self.child.wait()


class Town:
    """Replicas, nodes and their addresses."""

    def __init__(self, record, replicas=3, services=(), bounds=None):
        self.record = record
        self.bounds = dict(BOUNDS, **(bounds or {}))
        net = random.randrange(20, 250)
        self.core_ips = ["127.%d.1.%d" % (net, i + 1) for i in range(replicas)]
        self.side_ips = ["127.%d.2.%d" % (net, i + 1) for i in range(len(services))]
        # One address is enough to look for free ports: the net is its own.
        base = free_ports(self.core_ips[:1] + self.side_ips[:1], 24)
        self.ports = {"inbound": base, "outbound": base + 1, "ready": base + 2,
                      "control": base + 3, "app": base + 4}
        self.internal = [base + 6, base + 21]
        self.services = list(services)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.replicas = [self._replica(i, ip) for i, ip in enumerate(self.core_ips)]
        self.nodes = [self._node(i, ip) for i, ip in enumerate(self.side_ips)]

    def _fields(self, name, ip, zone):
        listen = {key: "%s:%d" % (ip, port) for key, port in self.ports.items()}
        return {"nodeName": name, "ip": ip, "zone": zone, "region": "r1",
                "bootstrap": True, "listen": listen, "internalPorts": self.internal,
                "seeds": ["%s:%d" % (seed, self.ports["control"])
                          for seed in self.core_ips[:3]],
                "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": self.bounds, "appAddr": "%s:%d" % (ip, self.ports["app"])}

    def _settings(self, template, fields):
        with open(os.path.join(ROOT, template), encoding="utf-8") as source:
            return render(source.read(), fields)

    def _replica(self, index, ip):
        name = "core-%d" % (index + 1)
        data = os.path.join(self.folder, name)
        os.mkdir(data)
        fields = self._fields(name, ip, "r1-%s" % "abcd"[index % 4])
        fields["dataDir"] = data
        return Process(name, self.folder,
                       self._settings("deploy/replica.json.in", fields))

    def _node(self, index, ip):
        name = "side-%d" % (index + 1)
        fields = self._fields(name, ip, "r1-%s" % "abc"[index % 3])
        fields["service"] = self.services[index]
        return Process(name, self.folder, self._settings("deploy/node.json.in", fields))

    def address(self, ip, kind):
        return ip, self.ports[kind]

    async def start(self):
        await asyncio.gather(*(p.start() for p in self.replicas + self.nodes))

    async def stop(self):
        processes = [p for p in self.replicas + self.nodes if p.child]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in processes:
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """An HTTP answer: its status, headers (names in lower case) and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(":")
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def exchange(reader, writer, method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % pair for pair in headers.items()]
    if body or method in ("PUT", "POST"):
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()
    while True:
        status_line, answer_headers = await read_head(reader)
        status = int(status_line.split(" ")[1])
        if status >= 200:
            break
    return Answer(status, answer_headers, await read_body(reader, answer_headers))


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a connection of its own; None without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            sent = dict({"Host": "%s:%d" % address}, **(headers or {}))
            return await exchange(reader, writer, method, path, sent, body)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Operator:
    """The operator: any replica, 307 followed twice, the next after a failure."""

    PATH = "/quetzalloft/config"

    def __init__(self, town):
        self.town = town
        self.record = town.record

    async def _ask(self, ip, method, headers, body):
        address = self.town.address(ip, "control")
        for _ in range(3):
            answer = await call(address, method, self.PATH, headers, body, 1.0)
            if answer is None or answer.status != 307:
                return answer
            match = re.match(r"http://([\d.]+):(\d+)/", answer.headers.get("location", ""))
            if not match:
                return answer
            address = (match.group(1), int(match.group(2)))
        return answer

    async def put(self, config, base, raw=None, limit_s=10.0):
        """Sends a configuration until it has a clear answer; its status, or None."""
        body = raw if raw is not None else json.dumps(config, ensure_ascii=False).encode()
        headers = {"Content-Type": "application/json", "Base-Version": str(base)}
        end, turn, others = now() + limit_s, 0, 0
        while now() < end:
            ip = self.town.core_ips[turn % len(self.town.core_ips)]
            turn += 1
            answer = await self._ask(ip, "PUT", headers, body)
            status = answer.status if answer else None
            self.record.write("operator puts base %s (%d bytes) at %s: %s %r" % (
                base, len(body), ip, status, answer.body[:120] if answer else b""))
            if status in (200, 400, 409, 412, 413, 422):
                return status
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                others += 1
                if others == 3:
                    return status
            await asyncio.sleep(0.1)
        return None

    async def get(self, limit_s=10.0):
        end, turn = now() + limit_s, 0
        while now() < end:
            ip = self.town.core_ips[turn % len(self.town.core_ips)]
            turn += 1
            answer = await self._ask(ip, "GET", {}, b"")
            if answer and answer.status == 200:
                config = json.loads(answer.body)
                self.record.write("operator reads version %s at %s" % (
                    config.get("version"), ip))
                return config
            await asyncio.sleep(0.1)
        return None


def route(name, host, prefix, service, kind="idempotent", **more):
    spec = {"host": host, "pathPrefix": prefix, "kind": kind, "timeout": "6000ms",
            "targetLatency": "1500ms", "priority": 1, "attempts": 2}
    if service:
        spec["service"] = service
    spec.update(more)
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def service(name):
    return {"resourceType": "services", "metadata": {"name": name},
            "spec": {"healthPath": "/health", "maxConnections": 500, "protocol": "h1",
                     "tls": False}}


def config(version, resources, limits=None):
    spec = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
    spec.update(limits or {})
    return {"version": version, "resources": resources + [
        {"resourceType": "limits", "metadata": {}, "spec": spec}]}


class Server:
    """An application server: answers with its seal, reports every 1.5 s."""

    def __init__(self, town, index, work_s=0.01, name=None):
        self.town = town
        self.record = town.record
        self.ip = town.side_ips[index]
        self.service = town.services[index]
        self.instance = name or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = work_s
        self.runs = {}
        self.tasks = []
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self._serve, self.ip, self.town.ports["app"], limit=1 << 20)
        self.tasks.append(asyncio.ensure_future(self._beat()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.listener.close()

    async def report(self, sequence=None, state=None):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = json.dumps({
            "service": self.service, "zone": "r1-a", "version": "v1", "slots": 20,
            "address": "%s:%d" % (self.ip, self.town.ports["app"]),
            "state": state or self.state, "coldLeft": "0ms", "sequence": sequence,
            "born": self.born}).encode()
        answer = await call(self.town.address(self.ip, "control"), "PUT",
                            "/quetzalloft/instances/" + self.instance,
                            {"Content-Type": "application/json"}, body, 1.0)
        return answer.status if answer else None

    async def _beat(self):
        while True:
            await self.report()
            await asyncio.sleep(1.5)

    async def handle(self, method, path, headers, body):
        """Returns the body of the answer; subclasses may do more."""
        await asyncio.sleep(self.work_s)
        return b"answer to " + headers.get("request-id", "?").encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                request = headers.get("request-id", "")
                if headers.get("target-instance", self.instance) != self.instance:
                    self._write(writer, "421 Misdirected Request", request, b"", False)
                    continue
                self.runs[request] = self.runs.get(request, 0) + 1
                self.record.write("server %s runs %s %s (%d bytes)" % (
                    self.instance, request, path, len(body)))
                answer = await self.handle(method, path, headers, body)
                self._write(writer, "200 OK", request, answer, True)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _write(writer, status, request, body, sealed):
        seal = "Response-Seal: seal-%s\r\n" % request if sealed else ""
        writer.write(("HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n" % (
            status, request, seal, len(body))).encode() + body)


def new_id():
    return "%016x" % random.getrandbits(64)


async def request(town, index, host, path, method="GET", body=b"", deadline_ms=5000,
                  headers=None, request_id=None):
    """A client's request at the outbound address of its own machine."""
    request_id = request_id or new_id()
    sent = {"Host": host, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
    sent.update(headers or {})
    answer = await call(town.address(town.side_ips[index], "outbound"), method, path,
                        sent, body, deadline_ms / 1000.0)
    return request_id, answer


async def wait_ready(town, limit_s=20.0):
    """Waits until every node answers the platform's question with 200."""
    end = now() + limit_s
    for ip in town.side_ips:
        while True:
            answer = await call(town.address(ip, "ready"), "GET", "/quetzalloft/ready")
            if answer and answer.status == 200:
                break
            if now() > end:
                return False
            await asyncio.sleep(0.2)
    return True
