"""A daemon acknowledges a worker's leave while the store is down, ends, and its
successor puts the worker back into service on a late heartbeat."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STORE_DOWN_S = 2.0  # sites/tsukushi-mesh.toml: platform_down, for_s = 4.5.
HEARTBEAT_LATE_S = 2.2  # "A heartbeat may arrive seconds late."
RESTART_S = 0.5  # "restarted after a short delay"
SERVES_S = 7.5  # After the leave: "at times many seconds".
CONTACT_S = BOUNDS["ContactMs"] / 1000
DRAIN_S = BOUNDS["DrainMs"] / 1000


async def book(lab, machine, done):
    """Sends requests that must not run twice, one after the other."""
    client = Client(lab, machine)
    while not done.is_set():
        await client.request("POST", "/bookings/new", b"1", deadline_ms=3000)
        await asyncio.sleep(0.02)


async def main():
    lab = Lab()
    try:
        await lab.start()
        lab.publish([route("tickets", "/tickets/", "desk"),
                     route("bookings", "/bookings/", "bench", kind="non_idempotent")], ["desk", "bench"])
        for service, zone in (("desk", "z1"), ("bench", "z1"), ("desk", "z2"), ("bench", "z2")):
            machine = lab.add_machine(service, zone)
            await machine.start()
            worker = Worker(lab, machine, service, work_s=0.2)
            lab.workers.append(worker)
            await worker.start()
            lab.tasks.append(asyncio.create_task(machine.supervise(RESTART_S)))
        if not await lab.ready():
            return 2
        await asyncio.sleep(5)
        done = asyncio.Event()
        # Machines 1 and 3 meet no disruption.
        clients = [asyncio.create_task(book(lab, lab.machines[number], done))
                   for number in (0, 0, 0, 2, 2, 2)]
        await asyncio.sleep(1)
        leaving, machine = lab.workers[1], lab.machines[1]
        if TROUBLE:
            lab.store.reachable = False
            lab.record("store-down", "-")
        await asyncio.sleep(0.3)
        # The worker is of those that send DELETE first and continue to serve.
        leaving.beating = False
        heartbeat = leaving.heartbeat()  # Sent now, arrives late.
        leaving.state = "left"  # Its health path answers 503 from now on.
        body = json.dumps({"born": leaving.born}).encode()
        if not await leaving.call_control("DELETE", body):
            return 2
        acknowledged = now()
        lab.record("leave-acknowledged", "-", worker=leaving.id)
        calm_from = acknowledged
        if TROUBLE:
            machine.send_signal(signal.SIGKILL)
            lab.record("killed", "-", machine=machine.number)
            await asyncio.sleep(STORE_DOWN_S - 0.3)
            lab.store.reachable = True
            calm_from = now()
            lab.record("store-back", "-")
            await asyncio.sleep(HEARTBEAT_LATE_S - (now() - acknowledged))
            await leaving.call_control("PUT", heartbeat)
            lab.record("late-heartbeat", "-", worker=leaving.id)
        await asyncio.sleep(SERVES_S - (now() - acknowledged))
        await leaving.stop()
        lab.record("worker-ended", "-", worker=leaving.id)
        await asyncio.sleep(1)
        done.set()
        await asyncio.gather(*clients)
        bound = max(acknowledged + DRAIN_S, calm_from + CONTACT_S + 0.1) - lab.begun
        sent = {attempt: at for at, what, attempt, _ in lab.records if what == "sent"}
        answers = {attempt: fields for _, what, attempt, fields in lab.records if what == "answered"}
        late = [(at, attempt) for at, what, attempt, fields in lab.records
                if what == "run" and fields["worker"] == leaving.id and sent[attempt] > bound]
        lost = [attempt for _, attempt in late if answers[attempt]["status"] != 200]
        lab.write_record(os.path.join(HERE, "record.txt"))
        since = acknowledged - lab.begun
        print(f"requests that reached the worker after it had left, machines in touch: {len(late)}")
        if late:
            print(f"  from {late[0][0] - since:.1f} s to {late[-1][0] - since:.1f} s after the "
                  f"acknowledgement; DrainMs is {BOUNDS['DrainMs']}")
            print(f"  of these not answered with success: {len(lost)}")
        return 1 if late else 0
    finally:
        await lab.close()


run(main)
