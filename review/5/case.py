"""A request crashes each server that runs it, and comes again: it is passed on for ever."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as stand_ins

HOST = "shop.example"
BAD_PATH = "/jobs/bad"
CONTACT_S = stand_ins.BOUNDS["contactS"]
MAX_RETRIES = 3
PLAY_S = 75.0
REQUESTS_PER_S = 2.0  # Of a quiet hour; there are six servers.
BAD_PERIOD_S = 5.0


async def traffic(lab, machines, until):
    pending = []
    while lab.now() < until:
        machine = random.choice(machines)
        pending.append(asyncio.create_task(stand_ins.send_request(
            lab, machine, "GET", HOST, f"/jobs/{random.randint(1, 999)}", 1500)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    return await asyncio.gather(*pending)


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
    runs = []
    original = lab.record

    def record(what, **fields):
        original(what, **fields)
        if what == "request reaches a server" and fields["path"] == BAD_PATH:
            runs.append((lab.now(), fields["request"]))

    lab.record = record
    until = lab.now() + PLAY_S
    others = asyncio.create_task(traffic(lab, machines, until))
    callers = [machine for machine in machines if machine.service == "fleet"]
    bad = []
    while lab.trouble and lab.now() < until - 4.0:
        bad.append(await stand_ins.send_request(lab, random.choice(callers), "GET", HOST, BAD_PATH,
                                                1500))
        await asyncio.sleep(BAD_PERIOD_S)
    answers = await others
    served = sum(answer.status == 200 for answer in answers)
    third = runs[2][0] if len(runs) > 2 else float("inf")
    # A retry is a consumer attempt of which a server got anything.
    late = {request for at, request in runs if at > third + CONTACT_S}
    for request in late:
        lab.record("BUDGET", request=request)
    print(f"{len(bad)} times the request was sent, {len(runs)} times it crashed a server; "
          f"{len(late)} retries reached servers later than {CONTACT_S} s after the third crash; "
          f"{served} of {len(answers)} other requests served")
    if served * 2 < len(answers):
        raise stand_ins.CannotRun("the installation did not serve")
    return len(late) <= MAX_RETRIES


stand_ins.play(FOLDER, case)
