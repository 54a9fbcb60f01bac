"""The nodes are restarted one after the other: a request known to crash servers runs again."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as stand_ins

HOST = "shop.example"
BAD_PATH = "/jobs/bad"
CONTACT_S = stand_ins.BOUNDS["contactS"]
RESTART_S = 0.5  # The bench starts a process again after half a second.
MAX_RETRIES = 3
PAUSE_S = 5.0  # Between the restarts of two nodes.
REQUESTS_PER_S = 60.0
BAD_PERIOD_S = 0.7


async def traffic(lab, machines, until):
    pending = []
    while lab.now() < until:
        machine = random.choice(machines)
        pending.append(asyncio.create_task(stand_ins.send_request(
            lab, machine, "GET", HOST, f"/jobs/{random.randint(1, 9999)}", 1500)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    return await asyncio.gather(*pending)


async def send_bad(lab, callers, until, bad):
    while lab.now() < until:
        bad.append(await stand_ins.send_request(lab, random.choice(callers), "GET", HOST, BAD_PATH,
                                                1500))
        await asyncio.sleep(BAD_PERIOD_S)


async def case(lab):
    machines = []
    for zone in "abc":
        for number, service in ((1, "dispatch"), (2, "dispatch"), (3, "fleet")):
            machines.append(await lab.add_machine(
                f"{zone}-{number}", zone, service, crash_path=BAD_PATH, down_s=3.0, cold_s=3.0))
    await lab.start()
    await lab.store.put("keyed.op", "config", stand_ins.config(
        1, [stand_ins.route("jobs", HOST, "/jobs/", "idempotent", "dispatch", 1.5, 0.4)],
        ["dispatch", "fleet"]))
    await lab.wait_ready()
    await asyncio.sleep(3.0)
    reached = []
    crashes = []
    disturbed = {machine.name: [] for machine in machines}  # SIGTERMs and starts of the node.
    sent_by = {}
    original = lab.record

    def record(what, **fields):
        original(what, **fields)
        if what == "request reaches a server" and fields["path"] == BAD_PATH:
            reached.append((lab.now(), fields["request"], fields["machine"]))
        if what == "server exits":
            crashes.append(lab.now())
        if what in ("node starts", "node gets a signal"):
            disturbed[fields["machine"]].append(lab.now())
        if what == "consumer sends":
            sent_by[fields["request"]] = fields["machine"]

    def in_touch(machine, at):
        """Whether its node had no signal and no start for contactS, and was not stopped."""
        before = [time for time in disturbed[machine] if time <= at]
        return len(before) % 2 == 0 and not any(at - time <= CONTACT_S for time in before)

    lab.record = record
    callers = [machine for machine in machines if machine.service == "fleet"]
    until = lab.now() + 92.0
    bad = []
    tasks = [asyncio.create_task(traffic(lab, machines, until)),
             asyncio.create_task(send_bad(lab, callers, until, bad))]
    await asyncio.sleep(8.0)
    known = len(crashes)
    # Those beside the servers that crash; the consumers of the request are beside the others.
    for machine in [machine for machine in machines if machine.service == "dispatch"] * 2:
        if lab.trouble and lab.now() < until - 8.0:
            await machine.restart_node(signal.SIGTERM, RESTART_S)
            await asyncio.sleep(PAUSE_S)
    answers, _ = await asyncio.gather(*tasks)
    third = crashes[2] if len(crashes) > 2 else float("inf")
    late = {request for at, request, machine in reached
            if at > third + CONTACT_S and in_touch(machine, at) and in_touch(sent_by[request], at)}
    for request in late:
        lab.record("BUDGET", request=request)
    served = sum(answer.status == 200 for answer in answers)
    print(f"{len(bad)} times the request was sent; it crashed {known} servers before the restarts and "
          f"{len(crashes) - known} during and after them; {len(late)} retries reached servers by "
          f"machines in touch, later than {CONTACT_S} s after the third crash; {served} of {len(answers)} other requests served")
    if served * 2 < len(answers):
        raise stand_ins.CannotRun("the installation did not serve")
    return len(late) <= MAX_RETRIES


stand_ins.play(FOLDER, case)
