"""Test bed for the review cases: the platform's store, backend servers, clients
and sidecar processes, all on loopback addresses and the real clock.

Everything that the stand-ins do follows PROTOCOL.md. Only the standard library
is used.
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
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "figsail-sidecar")

INBOUND, APPLICATION, READY, OUTBOUND, CONTROL, STORE = 8300, 8301, 8302, 8304, 8306, 8309
INTERNAL_FIRST, INTERNAL_LAST = 7620, 7635
BEAT_S = 1.5
RESTART_DELAY_S = 0.3

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckTimeoutMs": 4000,
    "CatchUpS": 4, "DrainMs": 2500, "GracePeriodS": 6, "LossSlackMs": 200,
    "ConfigApplyMs": 2500, "RollbackSlackMs": 250, "OuterBoundMs": 5000,
    "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 64,
    "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000, "RecoveryS": 15,
    "ProbesPerS": 60,
}


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP.

async def read_message(reader):
    """Reads one message with a length. Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers, body=b""):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection with a reset, as the kernel does for a process that
    has crashed with unread input."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def call(address, method, target, headers, body=b"", timeout=2.0):
    """One call on a connection of its own. Returns (status, headers, body), or
    None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("PUT", "POST"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, answer, content = await read_message(reader)
            return int(first.split(" ")[1]), answer, content
    except (OSError, EOFError, TimeoutError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


# The platform's store.

class Store:
    """Keyed topics of one partition, as PROTOCOL.md describes them."""

    def __init__(self, bed):
        self.bed = bed
        self.address = (bed.ip(250), STORE)
        self.topics = {}
        self.changed = asyncio.Event()
        self.appends = []
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, topic, key, value):
        """Appends as the operator does; the return is the acknowledgement."""
        name = key.encode()
        self.append(topic, bytes([len(name)]) + name + value)

    def append(self, topic, content):
        log = self.topics.setdefault(topic, [])
        log.append(content)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return len(log) - 1

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                status, content = await self.handle(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(response(status, {"Content-Type": "application/json", "Store-Era": "1"}, content))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = query.get("Topic", "")
        if path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            first = None
            while len(body) >= 4:
                size = struct.unpack(">I", body[:4])[0]
                offset = self.append(topic, body[4:4 + size])
                first = offset if first is None else first
                key_size = body[4]
                self.bed.record.line("store appends %s %s = %s" % (
                    topic, body[5:5 + key_size].decode(), body[5 + key_size:4 + size].decode("latin-1")))
                body = body[4 + size:]
            end = len(self.topics[topic])
            return 200, json.dumps({"Offset": first or 0, "EndOffset": end}).encode()
        if topic not in self.topics:
            return 404, b"{}"
        log = self.topics[topic]
        if path == "/v1/log-newest":
            newest = {}
            for offset, content in enumerate(log):
                size = content[0]
                key, value = content[1:1 + size], content[1 + size:]
                newest.pop(key, None)
                if value:
                    newest[key] = {"Key": key.decode(), "Value": base64.b64encode(value).decode(), "Offset": offset}
            items = [newest[key] for key in sorted(newest)]
            return 200, json.dumps({"items": items, "HasMore": False, "EndOffset": len(log)}).encode()
        if path == "/v1/log-read":
            start = int(query.get("From", "0"))
            limit = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            if start > len(log):
                return 410, json.dumps({"FirstOffset": 0}).encode()
            while len(log) <= start and time.monotonic() < limit:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, limit - time.monotonic()))
                except (TimeoutError, asyncio.TimeoutError):
                    break
            page = struct.pack(">qq", len(log), 0)
            for content in log[start:]:
                page += struct.pack(">I", len(content)) + content
            return 200, page
        return 404, b"{}"


# Backend servers.

class Worker:
    """A backend server. `work` maps a path to the seconds that a run takes, or
    is a coroutine function of (worker, method, path, headers)."""

    next_id = 0

    def __init__(self, bed, machine, service, slots=10, queue=20, work=0.02, cold_s=0.0):
        self.bed, self.machine, self.service = bed, machine, service
        self.slots, self.queue_limit, self.work = slots, queue, work
        self.connections = set()
        self.up = False
        self.state = "ready"
        self.beating = True
        self.running = self.waiting = 0
        self.on_arrival = None
        self.cold_until = 0.0
        self.born_cold = cold_s

    async def start(self):
        Worker.next_id += 1
        self.id = "i-%08x" % (random.getrandbits(20) << 8 | Worker.next_id)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state, self.beating, self.up = "ready", True, True
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.cold_until = time.monotonic() + self.born_cold
        self.server = await asyncio.start_server(self.serve, self.machine.ip, APPLICATION)
        self.bed.record.line(f"server {self.id} ({self.service}) starts at {self.machine.name}")
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """The process ends at once; its connections are reset."""
        if not self.up:
            return
        self.bed.record.line(f"server {self.id} crashes")
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        self.connections.clear()

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def heartbeat(self):
        """The next heartbeat, as (target, body)."""
        self.sequence += 1
        body = {"Service": self.service, "Address": f"{self.machine.ip}:{APPLICATION}",
                "Zone": self.machine.zone, "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdRemainingMs": self.cold_ms(), "Sequence": self.sequence, "born": self.born}
        return f"/v1/instances/{self.id}", json.dumps(body).encode()

    async def send_report(self, method, target, body, timeout=1.0):
        answer = await call((self.machine.ip, CONTROL), method, target,
                            {"Host": "control", "Content-Type": "application/json"}, body, timeout)
        status = answer[0] if answer else "no answer"
        self.bed.record.line(f"{method} {target} {body.decode()} -> {status}")
        return bool(answer) and 200 <= answer[0] < 300

    async def beat(self):
        while True:
            if self.beating:
                await self.send_report("PUT", *self.heartbeat())
            await asyncio.sleep(BEAT_S)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.up:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                if path == "/health":
                    good = self.state == "ready"
                    writer.write(response(200 if good else 503, {
                        "Figsail-Instance-Id": self.id, "Figsail-Server-Load": self.load(),
                        "Figsail-Cold-Milliseconds": self.cold_ms()}))
                    continue
                answer = await self.request(reader, method, path, headers, body)
                if answer is None or not self.up:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def request(self, reader, method, path, headers, body):
        name = headers.get("figsail-attempt-id", "-")
        expected = headers.get("figsail-expected-instance", self.id)
        if expected != self.id:
            self.bed.record.line(f"server {self.id} answers 421 to {name}, meant for {expected}")
            return response(421, {"Figsail-Attempt-Id": name, "Figsail-Instance-Id": self.id})
        if self.running >= self.slots and self.waiting >= self.queue_limit:
            return response(503, {"Figsail-Attempt-Id": name, "Figsail-Not-Executed": "1"})
        self.bed.record.line(f"server {self.id} gets {name} {method} {path} for {self.service}, "
                             f"deadline {headers.get('figsail-deadline-milliseconds')}")
        if self.on_arrival:
            self.on_arrival(self, name, path)
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            status, content = 200, b"done"
            if callable(self.work):
                outcome = await self.work(self, method, path, headers)
                if outcome is None:
                    return None
                status, content = outcome
            else:
                await asyncio.sleep(self.work)
            if not self.up:
                return None
            seal = {"Figsail-Server-Seal": f"{self.id}.{name}.{len(content)}"}
            return response(status, {"Figsail-Attempt-Id": name, **seal,
                                     "Figsail-Server-Load": self.load(), "Keep-Alive": "timeout=10"}, content)
        finally:
            self.running -= 1
            self.free.release()


# Sidecars.

class Machine:
    """A machine with one sidecar process, which is started again after its end."""

    def __init__(self, bed, number, zone, region, service):
        self.bed, self.ip, self.zone, self.region, self.service = bed, bed.ip(number), zone, region, service
        self.name = f"sidecar-{zone}-{number}"
        self.process = None
        self.ready = False
        self.misses = 0
        self.first = True
        self.wanted = False
        self.disturbances = []  # Times of all starts, ends and signals.
        self.settings = os.path.join(bed.directory, self.name + ".yaml")
        self.log = os.path.join(bed.directory, self.name + ".log")

    def write_settings(self):
        zones = "".join(f"    {zone}: {json.dumps(region)}\n" for zone, region in self.bed.zones.items())
        bounds = "".join(f"    {name}: {value}\n" for name, value in self.bed.bounds.items())
        text = f"""SelfNode:
  NodeName: "{self.name}"
  Role: "sidecar"
  MachineClass: "sidecar"
  Serves:
    - "sidecar"
  IpAddress: "{self.ip}"
  Zone: "{self.zone}"
  Region: "{self.region}"
  CountedInTolerance: false
  FirstStart: {"true" if self.first else "false"}
  DataDirectory: null
  Limits:
    CpuShare: 0.2
    CpuCores: 1
    MemoryMb: 260
    FileDescriptors: 4100
    LinkMbps: 1000.0
    DiskMb: 0
  ApplicationAddress: "{self.ip}:{APPLICATION}"
  Service: "{self.service}"
Network:
  ListenAddresses:
    Inbound: "{self.ip}:{INBOUND}"
    Outbound: "{self.ip}:{OUTBOUND}"
    Ready: "{self.ip}:{READY}"
    Control: "{self.ip}:{CONTROL}"
  InternalPortRange:
    - {INTERNAL_FIRST}
    - {INTERNAL_LAST}
  SeedNodes: []
  Zones:
{zones}Platform:
  Discovery: "local_file"
  Entry: "local_file"
  HeartbeatIntervalMs: {int(BEAT_S * 1000)}
  Platform:
    Address: "{self.bed.store.address[0]}:{self.bed.store.address[1]}"
    form: "log"
    WritesPerS: 400
    ReadsPerS: 2000
    parts: 12
    AppendMs: 2.0
    PartMbPerS: 20.0
    ReadMbPerS: 80.0
    RecordBytes: 262144
    CallBytes: 2097152
    keep_s: 300
    PartitionMb: 200
    TtlMinMs: 1000
Terms:
  Contracts: ["base", "drain", "config", "cost", "retry", "recover", "health", "places", "platform"]
  FaultTolerance:
    Machines: 1
    Zones: 1
    Regions: 0
  Bounds:
{bounds}"""
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        self.first = False
        self.disturbed()
        log = open(self.log, "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FIGSAIL_SETTINGS"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        log.close()
        self.bed.record.line(f"{self.name} starts, pid {self.process.pid}")

    async def supervise(self):
        self.wanted = True
        while self.wanted:
            await self.start()
            await self.process.wait()
            self.ready = False
            self.disturbed()
            self.bed.record.line(f"{self.name} ends with {self.process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number):
        self.bed.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.disturbed()
        self.process.send_signal(number)

    async def poll(self):
        """The platform's readiness check, once a second. Two misses take the
        machine out."""
        while True:
            answer = await call((self.ip, READY), "GET", "/v1/readiness", {"Host": "ready"}, timeout=0.9)
            if answer and answer[0] == 200:
                if not self.ready:
                    self.bed.record.line(f"{self.name} is ready")
                self.ready, self.misses = True, 0
            else:
                self.misses += 1
                if self.misses >= 2 and self.ready:
                    self.bed.record.line(f"{self.name} is out")
                    self.ready = False
            await asyncio.sleep(1.0)

    def disturbed(self):
        self.disturbances.append(time.monotonic())

    def in_touch(self, at=None):
        """Returns whether the process had run undisturbed for ContactMs."""
        at = time.monotonic() if at is None else at
        before = [disturbance for disturbance in self.disturbances if disturbance <= at]
        return bool(before) and at - before[-1] >= self.bed.bounds["ContactMs"] / 1000


class Bed:
    """All parts of one play."""

    def __init__(self, case_directory, zones, bounds=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(case_directory, "record.txt"))
        self.record.line(f"TROUBLE={'1' if self.trouble else '0'}")
        self.directory = tempfile.mkdtemp(prefix="figsail-review-")
        self.zones = zones
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.block = self.free_block()
        self.machines = []
        self.workers = []
        self.tasks = []
        self.attempt = 0
        self.store = Store(self)
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/figsail-sidecar is missing; build it with the command of the deploy file")

    @staticmethod
    def free_block():
        """Returns a block of loopback addresses whose ports are free."""
        for _ in range(50):
            block = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
            try:
                for number, port in ((1, CONTROL), (2, OUTBOUND), (3, APPLICATION), (250, STORE), (1, INTERNAL_FIRST)):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{number}", port))
                return block
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, number):
        return f"{self.block}.{number}"

    def machine(self, zone, service):
        machine = Machine(self, len(self.machines) + 1, zone, self.zones[zone], service)
        self.machines.append(machine)
        return machine

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def configure(self, version, routes, services):
        config = {"Version": "%08x" % version, "Routes": routes, "Services": services,
                  "Limits": {"HeaderBytes": 16384, "BodyBytes": 1048576,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def start(self):
        for machine in self.machines:
            self.spawn(machine.supervise())
            self.spawn(machine.poll())
        limit = time.monotonic() + 15
        while not all(machine.ready for machine in self.machines):
            if time.monotonic() > limit:
                raise CannotRun("the sidecars do not get ready")
            await asyncio.sleep(0.05)

    async def request(self, machine, method, host, path, deadline_ms, body=b"", note=""):
        """One client attempt on a connection of its own. Returns the status, or
        'closed'."""
        self.attempt += 1
        name = "%016x" % (random.getrandbits(48) << 16 | self.attempt)
        self.record.line(f"client sends {name} {method} {path} to {machine.name} {note}".rstrip())
        answer = await call((machine.ip, OUTBOUND), method, path, {
            "Host": host, "Figsail-Attempt-Id": name, "Figsail-Deadline-Milliseconds": deadline_ms},
            body, deadline_ms / 1000)
        status = answer[0] if answer else "closed"
        sealed = "sealed" if answer and "figsail-server-seal" in answer[1] else "unsealed"
        self.record.line(f"client gets {status} ({sealed}) for {name}")
        return name, status

    async def stop(self):
        for machine in self.machines:
            machine.wanted = False
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            if worker.up:
                worker.beats.cancel()
                worker.server.close()
        for machine in self.machines:
            process = machine.process
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, host, prefix, service, kind, timeout_ms, target_ms, attempts=2, priority=0):
    return {"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": target_ms, "Priority": priority, "Service": service, "Attempts": attempts}


def service(name, cold_per_s=40.0, connections=260):
    return {"Name": name, "HealthPath": "/health", "ConnectionLimit": connections, "ColdPerS": cold_per_s}


def main(case_directory, play, **options):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
    case could not run. `play` returns a list of breaches."""

    async def run():
        bed = None
        try:
            bed = Bed(case_directory, **options)
            async with asyncio.timeout(115):
                breaches = await play(bed)
            for breach in breaches:
                bed.record.line(f"BROKEN: {breach}")
                print("BROKEN:", breach)
            bed.record.line("result: " + ("broken" if breaches else "held"))
            print("result:", "broken" if breaches else "held")
            return 1 if breaches else 0
        except (CannotRun, OSError, TimeoutError, asyncio.TimeoutError) as error:
            print("cannot run:", error or type(error).__name__, file=sys.stderr)
            return 2
        finally:
            if bed:
                await bed.stop()

    sys.exit(asyncio.run(run()))
