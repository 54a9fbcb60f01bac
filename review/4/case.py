"""A server becomes cold by itself: it gets its warm rate until its next check-in."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as stand_ins

HOST = "shop.example"
COLD_PER_S = 30.0
BOUND = COLD_PER_S * stand_ins.BOUNDS["coldFactor"] + 5  # coldFactor and coldSlack.
COLD_S = 3.0
REQUESTS_PER_S = 222.0  # 74 for each server; `dispatch` has 63 on average, and swings to 73.


async def traffic(lab, machines, until):
    pending = []
    next_at = lab.now()
    while lab.now() < until:
        machine = random.choice(machines)
        pending.append(asyncio.create_task(stand_ins.send_request(
            lab, machine, "POST", HOST, "/visits/7", 2000, b"visit")))
        next_at += 1.0 / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, next_at - lab.now()))
    return await asyncio.gather(*pending)


async def case(lab):
    machines = [await lab.add_machine(f"{zone}-1", zone, "dispatch", work_s=0.12,
                                      cold_limit=2 * COLD_PER_S) for zone in "abc"]
    await lab.start()
    await lab.store.put("keyed.op", "config", stand_ins.config(
        1, [stand_ins.route("visits", HOST, "/visits/", "non_idempotent", "dispatch", 2.0, 0.5)],
        ["dispatch"], COLD_S, COLD_PER_S))
    await lab.wait_ready()
    await asyncio.sleep(3.0)
    sent_at = {}
    arrivals = {machine.server.id: [] for machine in machines}
    original = lab.record

    def record(what, **fields):
        original(what, **fields)
        if what == "consumer sends":
            sent_at[fields["request"]] = lab.now()
        if what == "request reaches a server":
            arrivals.setdefault(fields["server"], []).append(
                (sent_at[fields["request"]], lab.now()))

    lab.record = record
    until = lab.now() + 14.0
    tasks = asyncio.create_task(traffic(lab, machines, until))
    await asyncio.sleep(4.0)
    server = machines[0].server
    cold_id, cold_at = server.id, float("inf")
    if lab.trouble:
        # Between two check-ins. The next one, a little more than a second later, tells it.
        while not 0.1 <= time.monotonic() - server.told_at <= 0.4:
            await asyncio.sleep(0.02)
        server.warm_at = time.monotonic() + COLD_S
        cold_at = lab.now()
        original("server becomes cold", server=cold_id)
    answers = await tasks
    # Requests that were sent and arrived within one second, all of it in the cold time.
    times = [(sent, at) for sent, at in arrivals[cold_id]
             if cold_at <= sent and at < cold_at + COLD_S]
    most = max((sum(first <= sent and at < first + 1.0 for sent, at in times)
                for first, _ in times), default=0)
    crashed = lab.trouble and server.id != cold_id
    lost = sum(answer.status in (0, 502, 504) for answer in answers)
    if most > BOUND:
        original("FAILBACK", server=cold_id, requests=most)
    print(f"{sum(answer.status == 200 for answer in answers)} of {len(answers)} bookings served; "
          f"at most {most} requests reached the cold server in one second, of {BOUND} allowed; "
          f"{'it crashed, ' if crashed else ''}{lost} bookings were lost")
    if not any(answer.status == 200 for answer in answers):
        raise stand_ins.CannotRun("no request was served")
    return most <= BOUND


stand_ins.play(FOLDER, case)
