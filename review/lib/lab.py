"""Stand-ins for the platform's store, servers and consumers, and the processes under test.

One asyncio program plays everything except the nodes, which are the project's own program, started
with the command of the deploy file on loopback addresses of their own. All times are those of the
steady clock.
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
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
BOUNDS = {"graceS": 6, "drainS": 2, "contactS": 3, "configApplyS": 2, "retryBudgetRatio": 0.2,
          "retryBudgetSlack": 62, "budgetWindowS": 10, "canaryShare": 0.1, "coldFactor": 1.5}
PORTS = {"outbound": 8147, "ready": 8141, "control": 8144, "app": 8145, "links": 7380}


class CannotRun(Exception):
    """The case could not be played."""


def render(template, fields):
    """Fills in a template of the deploy folder, as DEPLOY.md describes it."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        items = lookup(match.group(1))
        rows = []
        for index, item in enumerate(items):
            last = index + 1 == len(items)
            rows.append(match.group(2).replace("{{.}}", str(item))
                        .replace("{{,}}", "" if last else ","))
        return "".join(rows)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


class HttpMessage:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader, head_only=False):
    """Reads one request or response; returns None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers and not head_only:
        body = await reader.readexactly(int(headers["content-length"]))
    return HttpMessage(lines[0], headers, body)


def response_bytes(status, headers, body=b"", reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Lab:
    """One installation: a store, machines with a node and a server each, and consumers."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.scratch = tempfile.mkdtemp(prefix="review-")
        self.net = self.free_net()
        self.machines = {}
        self.store = Store(self)
        self.tasks = set()
        self.last_id = 0
        self.rng = random.Random(1)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    @staticmethod
    def free_net():
        """Returns the first three numbers of loopback addresses on which nothing listens."""
        for _ in range(50):
            net = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((net + ".1", PORTS["outbound"]))
                    return net
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def now(self):
        return time.monotonic() - self.began

    def record(self, what, **fields):
        line = {"at": round(self.now(), 3), "what": what, **fields}
        self.record_file.write(json.dumps(line) + "\n")

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def request_id(self):
        self.last_id += 1
        return f"{self.rng.getrandbits(40):010x}{self.last_id:06x}"

    async def add_machine(self, name, zone, service, **server):
        machine = Machine(self, name, zone, service, f"{self.net}.{10 + len(self.machines)}",
                          server)
        self.machines[name] = machine
        return machine

    async def start(self):
        await self.store.start()
        for machine in self.machines.values():
            await machine.start()

    async def wait_ready(self, seconds=15.0):
        """Waits until each node says that it is ready and knows all servers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answers = [await machine.is_ready() for machine in self.machines.values()]
            if all(answers):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    async def close(self):
        for machine in self.machines.values():
            await machine.close()
        rest = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await asyncio.sleep(0.05)
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)


class Store:
    """The platform's store: keyed topics with one partition, appends, reads and long polls."""

    def __init__(self, lab):
        self.lab = lab
        self.topics = {}
        self.grown = asyncio.Condition()
        self.address = (lab.net + ".2", 8142)

    async def start(self):
        await asyncio.start_server(self.serve, *self.address)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, topic, key, value):
        """Appends a record as the operator does. An empty value removes the key."""
        text = json.dumps(value).encode() if value is not None else b""
        self.topic(topic).append((key.encode(), text))
        self.lab.record("operator writes", topic=topic, key=key)
        async with self.grown:
            self.grown.notify_all()

    def newest(self, name):
        latest = {}
        for offset, (key, value) in enumerate(self.topic(name)):
            latest[key] = (value, offset)
        return {key: entry for key, entry in latest.items() if entry[0]}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(await self.answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        _, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        fields = dict(pair.partition("=")[::2] for pair in query.split("&"))
        name = fields.get("topic", "")
        records = self.topic(name)
        as_json = [("Content-Type", "application/json")]
        if path == "/-/log-append":
            if "at" in fields and int(fields["at"]) != len(records):
                return response_bytes(412, as_json, json.dumps({"end": len(records)}).encode())
            offset, body = len(records), request.body
            while body:
                size = int.from_bytes(body[:4], "big")
                content, body = body[4:4 + size], body[4 + size:]
                records.append((content[1:1 + content[0]], content[1 + content[0]:]))
            async with self.grown:
                self.grown.notify_all()
            done = json.dumps({"offset": offset, "end": len(records)}).encode()
            return response_bytes(200, as_json, done)
        if path == "/-/log-newest":
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(),
                      "offset": offset} for key, (value, offset) in self.newest(name).items()]
            page = {"items": items, "more": False, "end": len(records)}
            return response_bytes(200, as_json, json.dumps(page).encode())
        if path == "/-/log-read":
            start = int(fields.get("from", 0))
            if start >= len(records):
                async with self.grown:
                    try:
                        await asyncio.wait_for(
                            self.grown.wait_for(lambda: len(records) > start),
                            int(fields.get("waitMs", 0)) / 1000)
                    except asyncio.TimeoutError:
                        pass
            body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                body += len(content).to_bytes(4, "big") + content
            return response_bytes(200, [("Content-Type", "application/octet-stream")], body)
        return response_bytes(404, [])


class Machine:
    """One `sidecar` machine: the node's process and the server beside it."""

    def __init__(self, lab, name, zone, service, address, server):
        self.lab, self.name, self.zone, self.service = lab, name, zone, service
        self.address = address
        self.process = None
        self.server = Server(lab, self, **server)
        self.log = os.path.join(lab.scratch, name + ".log")
        self.settings = os.path.join(lab.scratch, name + ".yaml")

    def endpoint(self, port):
        return f"{self.address}:{PORTS[port]}"

    def write_settings(self):
        store = self.lab.store.address
        others = [machine.endpoint("control") for machine in self.lab.machines.values()
                  if machine is not self]
        fields = {"nodeId": self.name, "zone": self.zone, "service": self.service,
                  "ip": self.address, "portRange": [PORTS["links"], PORTS["links"] + 15],
                  "listen": {port: self.endpoint(port)
                             for port in ("outbound", "ready", "control")},
                  "platform": {"address": f"{store[0]}:{store[1]}"}, "seeds": others[:3],
                  "bounds": BOUNDS,
                  "limits": {"maxFds": 4100, "cpuShare": 0.2, "linkMbps": 1000.0}}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.lab.template, fields))

    async def start(self):
        self.write_settings()
        await self.start_node()
        await self.server.start()

    async def start_node(self):
        command = self.lab.role["run"].split(" ")
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} has not been built")
        arguments = [word.replace("/etc/jacinthshift/node.yaml", self.settings)
                     for word in command[1:]]
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.lab.scratch,
                     "JACINTHSHIFT_SETTINGS": self.settings})
        self.lab.record("node starts", machine=self.name, pid=self.process.pid)

    async def signal_node(self, number):
        self.lab.record("node gets a signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def restart_node(self, number, delay):
        """Ends the node by a signal; the platform starts it again after a short delay."""
        await self.signal_node(number)
        await self.process.wait()
        self.lab.record("node has ended", machine=self.name, status=self.process.returncode)
        await asyncio.sleep(delay)
        await self.start_node()

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(self.address, PORTS["ready"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer.start.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Server:
    """A server as PROTOCOL.md describes it. Subclass hooks decide how long work takes."""

    def __init__(self, lab, machine, slots=18, work_s=0.12, cold_s=0.0, crash_path=None,
                 down_s=3.0, version="v1", cold_limit=None):
        self.lab, self.machine = lab, machine
        self.slots, self.work_s, self.cold_s, self.version = slots, work_s, cold_s, version
        self.crash_path, self.down_s = crash_path, down_s
        self.cold_limit = cold_limit  # It crashes at more requests in a second while it is cold.
        self.cold_arrivals = []
        self.running, self.queue = 0, []
        self.connections = set()
        self.listener = None
        self.beats = None
        self.id = ""

    async def start(self):
        self.id = "i-" + f"{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.told_at = 0.0  # When the last check-in had been sent.
        self.state = "ready"
        self.running, self.queue = 0, []
        self.warm_at = time.monotonic() + self.cold_s
        self.listener = await asyncio.start_server(self.serve, self.machine.address, PORTS["app"])
        self.lab.record("server starts", machine=self.machine.name, server=self.id,
                        service=self.machine.service)
        self.beats = self.lab.spawn(self.send_beats())

    def beat(self):
        """Returns the path and body of the next check-in."""
        self.sequence += 1
        cold = max(0.0, self.warm_at - time.monotonic())
        body = {"address": self.machine.endpoint("app"), "born": self.born,
                "info": {"service": self.machine.service, "version": self.version,
                         "zone": self.machine.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "coldRemainingS": round(cold, 3)}}
        return "/-/instances/" + self.id, json.dumps(body).encode()

    async def call_control(self, method, path, body):
        """Returns the status of a call to the control address, or 0 without an answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.machine.address, PORTS["control"]), 1.0)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                         .encode() + body)
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return int(answer.start.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def send_beats(self):
        while True:
            path, body = self.beat()
            status = await self.call_control("PUT", path, body)
            self.told_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def leave(self):
        """Leaves without having reported `draining`: the server goes on serving for a while."""
        self.beats.cancel()
        body = json.dumps({"born": self.born}).encode()
        status = await self.call_control("DELETE", "/-/instances/" + self.id, body)
        self.lab.record("server leaves", machine=self.machine.name, server=self.id, status=status)
        return status

    async def exit(self):
        """The process ends: all connections break off and nothing listens."""
        self.lab.record("server exits", machine=self.machine.name, server=self.id)
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    async def crash(self):
        await self.exit()
        await asyncio.sleep(self.down_s)
        await self.start()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        lifetime = self.id
        try:
            while True:
                request = await read_message(reader)
                if self.id != lifetime:
                    break
                answer = await self.handle(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request):
        method, path, _ = request.start.split(" ")
        wanted = request.header("Target-Instance")
        request_id = request.header("Request-Id")
        if path == "/health":
            cold_ms = max(0, round((self.warm_at - time.monotonic()) * 1000))
            return response_bytes(200, [("Instance-Id", self.id), ("Cold-Ms", str(cold_ms))])
        if wanted and wanted != self.id:
            return response_bytes(421, [("Instance-Id", self.id), ("Request-Id", request_id)])
        self.lab.record("request reaches a server", server=self.id, machine=self.machine.name,
                        request=request_id, path=path)
        if self.cold_limit is not None and self.is_overrun():
            self.lab.spawn(self.crash())
            return None
        if self.running >= self.slots:
            if len(self.queue) >= 4 * self.slots:
                return response_bytes(503, [("Not-Executed", "1"), ("Request-Id", request_id)])
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        self.running += 1
        lifetime = self.id
        self.lab.record("server runs", server=lifetime, machine=self.machine.name,
                        request=request_id, method=method, path=path,
                        caller=request.header("Caller-Service"))
        if self.crash_path is not None and path == self.crash_path:
            self.lab.spawn(self.crash())
            return None
        await asyncio.sleep(self.work_time(request))
        if self.id != lifetime:
            return None
        self.running -= 1
        if self.queue:
            self.queue.pop(0).set_result(None)
        # The receipt and the body both name the request.
        headers = [("Request-Id", request_id), ("Server-Seal", f"{self.id[2:6]}.{request_id}"),
                   ("Server-Load", f"{self.running},{len(self.queue)},{self.slots}")]
        return response_bytes(200, headers, f"answer to {request_id}\n".encode())

    def is_overrun(self):
        now = time.monotonic()
        if now >= self.warm_at:
            self.cold_arrivals = []
            return False
        self.cold_arrivals = [at for at in self.cold_arrivals if now - at < 1.0] + [now]
        return len(self.cold_arrivals) > self.cold_limit

    def work_time(self, request):
        return self.work_s() if callable(self.work_s) else self.work_s


class Answer:
    """What a consumer has seen of one request."""

    def __init__(self, request_id, sent_at):
        self.request_id, self.sent_at = request_id, sent_at
        self.status, self.answered_at, self.headers, self.body = 0, 0.0, {}, b""

    def is_own(self):
        """Whether the answer, if there is one with success, belongs to the request."""
        return (self.headers.get("request-id") == self.request_id
                and self.headers.get("server-seal", "").endswith("." + self.request_id)
                and self.body == f"answer to {self.request_id}\n".encode())


async def send_request(lab, machine, method, host, path, deadline_ms, body=b""):
    """Sends one request of a consumer on a new connection and waits for its answer."""
    request_id = lab.request_id()
    answer = Answer(request_id, lab.now())
    lab.record("consumer sends", machine=machine.name, request=request_id, method=method, path=path)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(machine.address, PORTS["outbound"]), 1.0)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
                     f"Deadline-Ms: {deadline_ms}\r\n{length}\r\n".encode() + body)
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.5)
        answer.status = int(message.start.split(" ")[1])
        answer.headers, answer.body = message.headers, message.body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        lab.record("consumer gets no answer", request=request_id, why=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
    answer.answered_at = lab.now()
    if answer.status:
        lab.record("consumer gets", request=request_id, status=answer.status,
                   answer_to=answer.headers.get("request-id", ""),
                   seal=answer.headers.get("server-seal", ""))
    return answer


def route(name, host, prefix, kind, service, timeout_s, target_s, attempts=2, priority=1):
    return {"name": name, "host": host, "pathPrefix": prefix, "routeType": kind,
            "timeoutS": timeout_s, "targetLatencyS": target_s, "priority": priority,
            "service": service, "maxAttempts": attempts}


def config(version, routes, services, cold_start_s=3.0, cold_per_s=30.0):
    return {"version": f"r{version}", "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 130,
                          "protocol": "h1", "tls": False, "coldStartS": cold_start_s,
                          "coldPerS": cold_per_s} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}}


def play(folder, case):
    """Runs `case(lab)`, which returns whether the rule held; exits with 0, 1 or 2."""
    async def run():
        lab = Lab(folder)
        try:
            return 0 if await asyncio.wait_for(case(lab), 110) else 1
        except (CannotRun, asyncio.TimeoutError) as error:
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await lab.close()

    try:
        sys.exit(asyncio.run(run()))
    except OSError as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
