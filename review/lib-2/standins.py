"""Stand-ins for the platform, the workers and the clients of figsail-sidecar.

Everything runs in one asyncio loop; each figsail-sidecar is a process of its
own. All addresses are loopback addresses, one per machine, with the same ports
on each machine.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "figsail-sidecar")


def now():
    return time.monotonic()


# HTTP/1.1 messages.


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # names in lower case
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("cut inside a head")
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve_http(handler, host, port):
    """Serves requests one after the other on each connection. The handler
    returns (status, headers, body), or None to close the connection."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await handler(request)
                if answer is None:
                    break
                status, headers, body = answer
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    headers + [("Content-Length", len(body))], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 20)


# The platform's metadata store.


class Store:
    """Store with a log of one partition for each topic."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.reachable = True

    def put(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        self.topics.setdefault(topic, []).append(content)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await serve_http(self.handle, host, port)

    async def handle(self, request):
        if not self.reachable:
            return 503, [], b"{}"
        _, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        topic = args.get("Topic", "")
        json_type = [("Content-Type", "application/json")]
        if path == "/v1/log-append":
            await asyncio.sleep(0.002)
            log = self.topics.setdefault(topic, [])
            if "At" in args and int(args["At"]) != len(log):
                return 412, json_type, json.dumps({"EndOffset": len(log)}).encode()
            first = len(log)
            body = request.body
            while body:
                (length,) = struct.unpack(">I", body[:4])
                log.append(body[4:4 + length])
                body = body[4 + length:]
            self.changed.set()
            self.changed = asyncio.Event()
            return 200, json_type, json.dumps({"Offset": first, "EndOffset": len(log)}).encode()
        if topic not in self.topics:
            return 404, json_type, b"{}"
        log = self.topics[topic]
        if path == "/v1/log-newest":
            newest = {}
            for offset, content in enumerate(log):
                key = content[1:1 + content[0]].decode()
                value = content[1 + content[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = {"Key": key, "Offset": offset,
                                   "Value": base64.b64encode(value).decode()}
            page = {"items": list(newest.values()), "HasMore": False, "EndOffset": len(log)}
            return 200, json_type, json.dumps(page).encode()
        if path == "/v1/log-read":
            start = int(args["From"])
            end = now() + int(args.get("WaitMs", "0")) / 1000
            while start >= len(log) and now() < end:
                try:
                    await asyncio.wait_for(asyncio.shield(self.wait()), end - now())
                except asyncio.TimeoutError:
                    pass
            page = struct.pack(">QQ", len(log), 0)
            for content in log[start:]:
                page += struct.pack(">I", len(content)) + content
            return 200, [("Content-Type", "application/octet-stream")], page
        return 404, [], b""

    async def wait(self):
        await self.changed.wait()


# Workers.


class Worker:
    """Application worker of one machine, with its heartbeats."""

    def __init__(self, lab, machine, service, slots=8, work_s=0.05):
        self.lab = lab
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        self.healthy = True
        self.acknowledged = {}  # state -> time of the first acknowledgement
        self.answer_bytes = 64
        self.beating = True
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.machine.ip,
                                                 self.lab.port("app"), limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_forever())

    async def stop(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def load(self):
        return ("Figsail-Server-Load", f"{self.running},0,{self.slots}")

    async def connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                close = await self.answer(Message(first, headers, body), reader, writer)
                if close:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def reply(self, writer, status, headers, body=b""):
        writer.write(encode(f"HTTP/1.1 {status} X", headers + [self.load(), ("Content-Length", len(body))], body))
        await writer.drain()

    async def answer(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target == "/health":
            well = self.healthy and self.state == "ready"
            await self.reply(writer, 200 if well else 503, [("Figsail-Instance-Id", self.id)])
            return False
        attempt = request.get("figsail-attempt-id")
        echo = [("Figsail-Attempt-Id", attempt)]
        expected = request.get("figsail-expected-instance")
        if expected is not None and expected != self.id:
            await self.reply(writer, 421, echo + [("Figsail-Instance-Id", self.id)])
            return False
        if self.running >= self.slots:
            await self.reply(writer, 503, echo + [("Figsail-Not-Executed", "1")])
            return False
        return await self.run(request, method, target, attempt, echo, reader, writer)

    async def run(self, request, method, target, attempt, echo, reader, writer):
        self.running += 1
        self.lab.record("run", attempt, worker=self.id, method=method, target=target,
                        bytes=len(request.body))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        seal = f"{self.id}.{attempt}.{random.getrandbits(32):08x}"
        self.lab.seals[seal] = attempt
        body = (attempt.encode() * (self.answer_bytes // len(attempt) + 1))[:self.answer_bytes]
        await self.reply(writer, 200, echo + [("Figsail-Server-Seal", seal)], body)
        return False

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({"Service": self.service, "Address": f"{self.machine.ip}:{self.lab.port('app')}",
                           "Zone": self.machine.zone, "Version": "v1", "Slots": self.slots,
                           "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence,
                           "born": self.born}).encode()

    async def call_control(self, method, body):
        try:
            reader, writer = await asyncio.open_connection(self.machine.ip, self.lab.port("control"))
            writer.write(encode(f"{method} /v1/instances/{self.id} HTTP/1.1",
                                [("Host", "control"), ("Content-Type", "application/json"),
                                 ("Content-Length", len(body))], body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.first.split(" ")[1].startswith("2")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def beat(self):
        state = self.state
        if await self.call_control("PUT", self.heartbeat()):
            self.acknowledged.setdefault(state, now())
            return True
        return False

    async def beat_forever(self):
        while True:
            good = True
            if self.beating:
                good = await self.beat()
            await asyncio.sleep(self.lab.beat_s if good else 0.3)


# Machines, each with one figsail-sidecar process.


class Machine:
    def __init__(self, lab, number, service, zone, region="r1", memory_mb=260):
        self.lab = lab
        self.number = number
        self.ip = f"127.0.0.{10 + number}"
        self.service = service
        self.zone = zone
        self.region = region
        self.memory_mb = memory_mb
        self.first_start = True
        self.process = None
        self.ends = 0  # Ends by itself, memory over the limit included.
        self.intended = False  # The script has ended the process.
        self.peak = 0

    def settings(self):
        port = self.lab.port
        return {
            "SelfNode": {"NodeName": f"sidecar-{self.number}", "Role": "sidecar", "MachineClass": "sidecar",
                         "Serves": ["sidecar"], "IpAddress": self.ip, "Zone": self.zone,
                         "Region": self.region, "CountedInTolerance": False,
                         "FirstStart": self.first_start, "DataDirectory": None,
                         "Limits": {"CpuShare": 0.2, "CpuCores": 1, "MemoryMb": self.memory_mb,
                                    "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
                         "ApplicationAddress": f"{self.ip}:{port('app')}", "Service": self.service},
            "Network": {"ListenAddresses": {"Inbound": f"{self.ip}:{port('inbound')}",
                                            "Outbound": f"{self.ip}:{port('outbound')}",
                                            "Ready": f"{self.ip}:{port('ready')}",
                                            "Control": f"{self.ip}:{port('control')}"},
                        "InternalPortRange": [port("internal"), port("internal") + 15],
                        "SeedNodes": [], "Zones": self.lab.zones},
            "Platform": {"Discovery": "local_file", "Entry": "local_file",
                         "HeartbeatIntervalMs": int(self.lab.beat_s * 1000),
                         "Platform": {"Address": self.lab.store.address, "form": "log",
                                      "WritesPerS": 400, "ReadsPerS": 2000, "parts": 12,
                                      "AppendMs": 2.0, "PartMbPerS": 20.0, "ReadMbPerS": 80.0,
                                      "RecordBytes": 262144, "CallBytes": 2097152, "keep_s": 300,
                                      "PartitionMb": 200, "TtlMinMs": 1000}},
            "Terms": {"Contracts": ["base", "drain", "config", "cost", "retry", "recover", "health",
                                    "places", "platform"],
                      "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
                      "Bounds": self.lab.bounds}}

    async def start(self):
        directory = os.path.join(self.lab.directory, f"m{self.number}")
        os.makedirs(directory, exist_ok=True)
        path = os.path.join(directory, "settings.yaml")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        self.first_start = False
        self.intended = False
        env = {"PATH": os.environ.get("PATH", ""), "HOME": directory, "LANG": "C", "FIGSAIL_SETTINGS": path}
        log = open(os.path.join(directory, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(PROGRAM, stdout=log, stderr=log, env=env, cwd=ROOT)
        log.close()
        self.lab.record("start", "-", machine=self.number)

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.intended = True
            self.process.send_signal(number)

    def used_mb(self):
        """Returns the anonymous memory of the process, without its program and
        libraries, in units of 1,048,576 bytes."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024
        except (OSError, IndexError, ValueError):
            pass
        return 0

    async def supervise(self, restart_s=1.0):
        """Restarts the process whenever it has ended. Kills it when it exceeds
        its memory, as the platform does."""
        while True:
            await asyncio.sleep(0.01)
            if self.process.returncode is None:
                used = self.used_mb()
                self.peak = max(self.peak, used)
                if used <= self.memory_mb:
                    continue
                self.lab.record("over-memory", "-", machine=self.number, mb=int(used))
                self.process.send_signal(signal.SIGKILL)
            code = await self.process.wait()
            if not self.intended:
                self.ends += 1
            self.lab.record("end", "-", machine=self.number, code=code, intended=self.intended)
            await asyncio.sleep(restart_s)
            await self.start()


BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckTimeoutMs": 4000, "CatchUpS": 4,
          "DrainMs": 2500, "GracePeriodS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2500,
          "RollbackSlackMs": 250, "OuterBoundMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
          "RetryBudgetSlack": 64, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000,
          "RecoveryS": 15, "ProbesPerS": 60}


class Lab:
    """One small deployment."""

    def __init__(self, seed=0):
        random.seed(seed or None)
        self.directory = tempfile.mkdtemp(prefix="figsail-review-")
        self.beat_s = 1.5
        self.bounds = dict(BOUNDS)
        self.zones = {"z1": "r1", "z2": "r1"}
        self.store = Store()
        self.machines = []
        self.workers = []
        self.records = []
        self.seals = {}
        self.tasks = []
        self.begun = now()
        self.base = self.find_ports()
        self.routes = []
        self.version = 0
        self.limits = {"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}

    def find_ports(self):
        """Returns a port from which on 30 are free on all addresses."""
        while True:
            base = random.randrange(20000, 30000, 50)
            try:
                for port in range(base, base + 30):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("127.0.0.1", port))
                return base
            except OSError:
                continue

    def port(self, name):
        names = ["inbound", "app", "ready", "outbound", "control", "store"]
        return self.base + 10 if name == "internal" else self.base + names.index(name)

    def record(self, what, attempt, **fields):
        self.records.append((now() - self.begun, what, attempt, fields))

    def add_machine(self, service, zone="z1", region="r1", memory_mb=260):
        machine = Machine(self, len(self.machines) + 1, service, zone, region, memory_mb)
        self.machines.append(machine)
        return machine

    def publish(self, routes, services):
        self.version += 7
        config = {"Version": f"{self.version:08x}", "Routes": routes,
                  "Services": [{"Name": name, "HealthPath": "/health", "ConnectionLimit": 260,
                                "Protocol": "h1", "Tls": False, "ColdStartS": 3.0, "ColdPerS": 11.0}
                               for name in services],
                  "Limits": self.limits}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def start(self):
        await self.store.start("127.0.0.1", self.port("store"))

    async def ready(self, timeout=15):
        """Waits until all daemons are ready."""
        end = now() + timeout
        for machine in self.machines:
            while True:
                if now() > end:
                    return False
                try:
                    reader, writer = await asyncio.open_connection(machine.ip, self.port("ready"))
                    writer.write(encode("GET /v1/readiness HTTP/1.1", [("Host", "x")]))
                    answer = await asyncio.wait_for(read_message(reader), 1)
                    writer.close()
                    if answer and " 200 " in answer.first + " ":
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.05)
        return True

    def write_record(self, path):
        with open(path, "w") as file:
            for at, what, attempt, fields in sorted(self.records, key=lambda entry: entry[0]):
                rest = " ".join(f"{name}={value}" for name, value in fields.items())
                file.write(f"{at:9.3f} {what} {attempt} {rest}\n")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout_ms=4000, target_ms=600, priority=1, attempts=2,
          host="app.example"):
    return {"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": target_ms, "Priority": priority, "Service": service, "Attempts": attempts,
            "AllowAnonymous": False, "HomeRegions": []}


# Clients.


class Outcome:
    def __init__(self, status, headers, body, note=""):
        self.status = status  # 0: the connection ended without an answer
        self.headers = headers
        self.body = body
        self.note = note


class Client:
    """Client on a machine that keeps its connection for many requests."""

    def __init__(self, lab, machine):
        self.lab = lab
        self.machine = machine
        self.reader = None
        self.writer = None
        self.kept = 0  # Requests answered on this connection.

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.machine.ip, self.lab.port("outbound"), limit=1 << 20), 1)
        self.kept = 0

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, target, body=b"", deadline_ms=4000, host="app.example", headers=()):
        attempt = f"{random.getrandbits(64):016x}"
        kept = self.kept if self.writer else 0
        try:
            if self.writer is None:
                await self.connect()
                kept = 0
        except (OSError, asyncio.TimeoutError):
            self.close()
            return attempt, Outcome(-1, {}, b"", "not connected")
        fields = [("Host", host), ("Figsail-Attempt-Id", attempt),
                  ("Figsail-Deadline-Milliseconds", deadline_ms)] + list(headers)
        if body or method not in ("GET", "HEAD"):
            fields.append(("Content-Length", len(body)))
        self.lab.record("sent", attempt, machine=self.machine.number, method=method, target=target,
                        bytes=len(body), kept=kept)
        try:
            self.writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(self.exchange(), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            self.close()
            outcome = Outcome(0, {}, b"", "no answer within the deadline")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            outcome = Outcome(0, {}, b"", f"closed: {type(error).__name__}")
        else:
            if answer is None:
                self.close()
                outcome = Outcome(0, {}, b"", "closed")
            else:
                outcome = Outcome(int(answer.first.split(" ")[1]), answer.headers, answer.body)
                self.kept += 1
                if answer.headers.get("connection", "").lower() == "close":
                    self.close()
        outcome.kept = kept
        self.lab.record("answered", attempt, machine=self.machine.number, status=outcome.status,
                        kept=kept, note=outcome.note.replace(" ", "-"),
                        error=outcome.headers.get("figsail-error", ""))
        return attempt, outcome

    async def exchange(self):
        await self.writer.drain()
        return await read_message(self.reader)


def run(main):
    """Runs a case. Exits with 2 if it cannot run."""
    import sys
    import traceback
    if not os.path.exists(PROGRAM):
        print("target/figsail-sidecar is not built")
        sys.exit(2)
    try:
        code = asyncio.run(main())
    except Exception:  # The case could not run.
        traceback.print_exc()
        code = 2
    sys.exit(code)
