"""Stand-ins and helpers for the scripts of the second review.

Starts the project's own node as separate processes, as the deploy file does, on loopback
addresses. The platform's store, the backend servers and the consumers are small stand-ins that run
in this process and follow the users' pages.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# Below the ports that the system gives to outgoing connections. A node binds its ports some time
# after they were chosen, so none is given out twice.
LISTENING_PORTS = range(20_000, 32_000)
_given_ports = set()


def free_ports(address, count):
    ports = []
    for port in random.sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        if len(ports) == count:
            return ports
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    raise CannotRun("there are not enough free ports")


# The template of the settings, as DEPLOY.md describes it.

def lookup(fields, path):
    for name in path.split("."):
        if isinstance(fields, dict):
            fields = fields.get(name)
        elif isinstance(fields, list) and name.isdigit() and int(name) < len(fields):
            fields = fields[int(name)]
        else:
            return None
    return fields


def render(template, fields):
    def section(match):
        value = lookup(fields, match[1])
        if not isinstance(value, list):
            return match[2] if value else ""
        parts = []
        for number, entry in enumerate(value):
            comma = "," if number + 1 < len(value) else ""
            parts.append(match[2].replace("{{.}}", str(entry)).replace("{{,}}", comma))
        return "".join(parts)

    def value_of(match):
        value = lookup(fields, match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


# HTTP/1.1, as far as the stand-ins need it.

async def read_head(reader):
    """Returns the first line and the headers in lower case, or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), []).append(value.strip())
    return lines[0], headers


def first(headers, name, fallback=""):
    return headers.get(name, [fallback])[0]


async def read_body(reader, headers):
    if "chunked" in first(headers, "transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(first(headers, "content-length", "0")))


def answer_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, port, method, path, headers=(), body=b"", timeout=5.0):
    """Makes one call over a new connection. Returns (status, headers, body), or None."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
            if not any(n.lower() == "host" for n, _ in headers):
                lines.append(f"Host: {address}:{port}")
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split()[1])
            return status, head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's store: keyed tables with one partition each."""

    def __init__(self, lab):
        self.lab = lab
        self.tables = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.port = free_ports(self.lab.address, 1)[0]
        self.server = await asyncio.start_server(self._serve, self.lab.address, self.port)

    async def put(self, topic, key, value):
        async with self.changed:
            self.tables.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                writer.write(await self._answer(head[0].split()[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        table = self.tables.setdefault(query.get("topic", ""), [])
        if url.path == "/-/log-append":
            at = query.get("at")
            if at is not None and int(at) != len(table):
                return answer_bytes(412, body=json.dumps({"end": len(table)}).encode())
            offset = len(table)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key_size = record[0]
                await self.put(query["topic"], record[1:1 + key_size].decode(),
                               record[1 + key_size:])
            return answer_bytes(200, body=json.dumps({"offset": offset,
                                                      "end": len(table)}).encode())
        if url.path == "/-/log-read":
            start = int(query["from"])
            wait = int(query.get("waitMs", "0")) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(table) > start), wait)
                except asyncio.TimeoutError:
                    pass
            parts = [struct.pack(">QQ", len(table), 0)]
            for key, value in table[start:]:
                record = bytes([len(key)]) + key.encode() + value
                parts.append(struct.pack(">I", len(record)) + record)
            return answer_bytes(200, body=b"".join(parts))
        if url.path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(table):
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(),
                               "offset": offset}
                if not value:
                    del newest[key]
            items = [newest[key] for key in sorted(newest)]
            return answer_bytes(200, body=json.dumps({"items": items, "more": False,
                                                      "end": len(table)}).encode())
        return answer_bytes(404)


class Server:
    """A sound backend server. work(server, request id, path) gives (seconds, bytes)."""

    def __init__(self, lab, node, service, identity, work):
        self.lab, self.node, self.service, self.id, self.work = lab, node, service, identity, work
        self.port = node.ports["app"]
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.runs = []  # (request id, method, path, headers, body)
        self.arrivals = []  # (request id, time)
        self.cut = []  # Requests that ran when the server exited.
        self.connections, self.running = set(), {}
        self.status_of = lambda _server, _request, _path: 200

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.lab.address, self.port)
        self.beats = asyncio.ensure_future(self._beat())

    def next_check_in(self):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.lab.address}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.node.zone,
                     "slots": 18},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldRemainingS": 0}}).encode()

    def farewell(self):
        return json.dumps({"born": self.born}).encode()

    async def _beat(self):
        while True:
            await call(self.lab.address, self.node.ports["control"], "PUT",
                       f"/-/instances/{self.id}", [("Content-Type", "application/json")],
                       self.next_check_in(), 1.0)
            await asyncio.sleep(1.0)

    async def exit(self):
        """Ends the server, with the requests that it runs."""
        self.lab.record.line(f"server {self.id} exits")
        self.cut = list(self.running.values())
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, path, _ = head[0].split()
                request = first(head[1], "request-id")
                if path == "/health":
                    writer.write(answer_bytes(200, [("Instance-Id", self.id)]))
                    continue
                if first(head[1], "target-instance", self.id) != self.id:
                    writer.write(answer_bytes(421, [("Request-Id", request)]))
                    continue
                self.arrivals.append((request, time.monotonic()))
                self.running[writer] = request
                self.runs.append((request, method, path, head[1], body))
                self.lab.record.line(f"server {self.id} runs {request!r}: {method} {path}, "
                                     f"body of {len(body)} bytes, Caller-Service "
                                     f"{first(head[1], 'caller-service')!r}")
                seconds, size = self.work(self, request, path)
                await asyncio.sleep(seconds)
                content = (request + ".").encode() * (size // (len(request) + 1) + 1)
                del self.running[writer]
                status = self.status_of(self, request, path)
                writer.write(answer_bytes(
                    status, [("Request-Id", request),
                             ("Server-Seal", f"{self.id}.{request}.{status}.{size}"),
                             ("Server-Load", "1,0,18")], content[:size]))
                await writer.drain()
                self.lab.record.line(f"server {self.id} has answered {request!r} with {status}, "
                                     f"{size} bytes")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.running.pop(writer, None)
            self.connections.discard(writer)
            writer.close()


class Node:
    """One process of the project's node, with the settings of a small deployment."""

    def __init__(self, lab, name, zone, service):
        self.lab, self.name, self.zone, self.service = lab, name, zone, service
        names = ["outbound", "inbound", "ready", "control", "links", "app"]
        self.ports = dict(zip(names, free_ports(lab.address, len(names))))
        self.process = None

    def settings(self):
        with open(os.path.join(REPOSITORY, "deploy", "node.yaml.in"), encoding="utf-8") as file:
            template = file.read()
        # The metrics port of the template is the same on each machine; here they share one.
        metrics = free_ports(self.lab.address, 1)[0]
        template = template.replace("{{ip}}:9901", f"{self.lab.address}:{metrics}")
        address = self.lab.address
        return render(template, {
            "nodeId": self.name, "zone": self.zone, "service": self.service, "ip": address,
            "listen": {key: f"{address}:{self.ports[key]}"
                       for key in ("outbound", "inbound", "ready", "control")},
            "portRange": [self.ports["links"], self.ports["links"]], "seeds": [],
            "platform": {"address": f"{address}:{self.lab.store.port}"},
            "bounds": {"graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62,
                       "budgetWindowS": 10, "canaryShare": 0.1, "coldFactor": 1.5},
            "limits": {"cpuShare": 0.2, "maxFds": 4100, "linkMbps": 1000.0}})

    async def start(self):
        path = os.path.join(self.lab.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/jacinthshift", "mesh-node", "--settings=" + path, cwd=REPOSITORY,
            stdout=log, stderr=log, env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                                         "JACINTHSHIFT_SETTINGS": path})
        log.close()
        self.lab.processes.append(self.process)
        self.lab.record.line(f"node {self.name} started as process {self.process.pid}")

    def signal(self, number):
        self.lab.record.line(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.lab.address, self.ports["ready"], "GET", "/-/ready", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def request(self, request, path, deadline_ms=3000, method="GET", body=b"", headers=()):
        """Sends one consumer attempt over a new connection."""
        self.lab.record.line(f"consumer sends {request!r} to {self.name}: {method} {path}")
        answer = await call(self.lab.address, self.ports["outbound"], method, path,
                            [("Host", self.lab.host), ("Request-Id", request),
                             ("Deadline-Ms", str(deadline_ms)), *headers], body,
                            deadline_ms / 1000 + 1.0)
        shown = "no answer" if answer is None else f"{answer[0]}, {len(answer[2])} bytes"
        self.lab.record.line(f"consumer gets for {request!r}: {shown}")
        return answer


class Lab:
    """A small mesh: the store, the nodes and their servers."""

    host = "shop.example"
    limits = {"headerTimeoutS": 5, "idleTimeoutS": 30}

    def __init__(self, folder):
        # Its own loopback address, so that labs that run side by side do not meet.
        self.address = ".".join(["127"] + [str(random.randint(1, 254)) for _ in range(3)])
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="mesh-lab-")
        self.store = Store(self)
        self.processes, self.nodes, self.servers = [], [], []

    async def start(self, layout, routes, work):
        """Starts one node and server for each (zone, service); routes are those of op/config."""
        if not os.access(os.path.join(REPOSITORY, "target", "jacinthshift"), os.X_OK):
            raise CannotRun("target/jacinthshift is not built")
        await self.store.start()
        services = sorted({service for _, service in layout})
        await self.configure("r1", routes, services)
        for number, (zone, service) in enumerate(layout, 1):
            node = Node(self, f"sidecar-{zone}-{number}", zone, service)
            await node.start()
            self.nodes.append(node)
            server = Server(self, node, service, f"i-{number:08x}", work)
            await server.start()
            self.servers.append(server)
        limit = time.monotonic() + 15
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > limit:
                raise CannotRun("a node did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)  # Check-ins and links.

    async def configure(self, version, routes, services):
        config = {"version": version, "routes": routes,
                  "services": [{"name": name, "healthPath": "/health", "maxConnections": 130}
                               for name in services],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, **self.limits}}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.line(f"the operator's configuration {version} is acknowledged")

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name, prefix, service, kind="idempotent", timeout=5.0, target=1.0):
    return {"name": name, "host": Lab.host, "pathPrefix": prefix, "service": service,
            "routeType": kind, "timeoutS": timeout, "targetLatencyS": target, "priority": 1,
            "maxAttempts": 2}


def run_case(case, folder):
    """Runs case(lab, trouble), which returns a list of breaches, and exits as a script must."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        lab = Lab(folder)
        lab.record.line("with the disruption" if trouble else "TROUBLE=0, without the disruption")
        try:
            breaches = await asyncio.wait_for(case(lab, trouble), 110)
            for breach in breaches:
                lab.record.line("BROKEN: " + breach)
                print("BROKEN:", breach)
            lab.record.line("result: " + ("broken" if breaches else "kept"))
            print("result:", "broken" if breaches else "kept")
            return BROKEN if breaches else KEPT
        except Exception as error:  # Whatever it is, the case has shown nothing.
            lab.record.line(f"could not run: {error!r}")
            print("could not run:", repr(error))
            return COULD_NOT_RUN
        finally:
            await lab.stop()

    sys.exit(asyncio.run(main()))
