"""A request that crashes servers comes again while the sidecars are restarted in
turn. Counts how often it still reaches servers."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import bed as testbed  # noqa: E402

POISON = "/x/poison"
RETRIES_ALLOWED = 3


async def play(bed):
    machines = [bed.machine(zone, "desk") for zone in ("zone-a", "zone-a", "zone-b", "zone-b")]
    bed.configure(1, [testbed.route("lookup", "desk.example", "/x/", "desk", "idempotent", 2000, 500)],
                  [testbed.service("desk")])
    await bed.store.start()
    arrivals = []  # (time, machine of the worker, attempt)
    crashes = []
    sender = {}

    async def crash_and_return(worker):
        crashes.append(time.monotonic())
        worker.crash()
        await asyncio.sleep(2.0)
        worker.born_cold = 3.0
        await worker.start()

    async def work(worker, method, path, headers):
        if path != POISON:
            await asyncio.sleep(0.02)
            return 200, b"ticket"
        await asyncio.sleep(0.02)
        asyncio.get_running_loop().create_task(crash_and_return(worker))
        await asyncio.sleep(1)
        return None

    def arrived(worker, name, path):
        if path == POISON:
            arrivals.append((time.monotonic(), worker.machine, name))

    for machine in machines:
        worker = testbed.Worker(bed, machine, "desk", work=work)
        worker.on_arrival = arrived
        bed.workers.append(worker)
        await worker.start()
    await bed.start()
    await asyncio.sleep(5.0)

    def usable():
        return [machine for machine in machines if machine.ready and machine.process.returncode is None]

    async def traffic():
        while True:
            if usable():
                bed.spawn(bed.request(random.choice(usable()), "GET", "desk.example",
                                      f"/x/ticket{random.randrange(1000)}", 2000))
            await asyncio.sleep(0.2)

    async def poison():
        while True:
            # Only while every machine is in touch, so that every arrival counts.
            if len(usable()) == len(machines) and all(machine.in_touch() for machine in machines):
                machine = random.choice(machines)
                name, _ = await bed.request(machine, "GET", "desk.example", POISON, 2000, note="(crashes servers)")
                sender[name] = machine
            await asyncio.sleep(0.4)

    bed.spawn(traffic())
    bed.spawn(poison())
    await asyncio.sleep(12.0)
    bed.record.line(f"before the restarts: {len(crashes)} crashes")

    for machine in machines:
        if bed.trouble:
            machine.signal(signal.SIGTERM)
        await asyncio.sleep(18.0)
        bed.record.line(f"{len(crashes)} crashes, {len(arrivals)} arrivals so far")

    breaches = []
    if len(crashes) >= 3:
        limit = crashes[2] + bed.bounds["ContactMs"] / 1000
        # Each attempt counts once, however many servers it reaches.
        late = {name for at, machine, name in arrivals
                if at > limit and machine.in_touch(at) and name in sender and sender[name].in_touch(at)}
        bed.record.line(f"{len(crashes)} crashes; {len(late)} attempts arrived later than ContactMs after the third")
        if len(late) > RETRIES_ALLOWED:
            breaches.append(f"BUDGET: the request reached servers {len(late)} times, sent by machines in touch later "
                            f"than ContactMs after it had crashed the third; {RETRIES_ALLOWED} are allowed")
    bed.record.line(f"{len(crashes)} crashes, {len(arrivals)} arrivals in all")
    return breaches


testbed.main(HERE, play, zones={"zone-a": "region-1", "zone-b": "region-1"})
