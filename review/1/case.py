"""A node is killed soon after its start: refusals of old calls are taken for refusals of new ones."""

import asyncio
import collections
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as stand_ins

HOST = "shop.example"
CONSUMERS = 28
RESTART_S = 0.5  # The bench starts a killed process again after half a second.
REFUSALS = (408, 421, 429, 503)


def work_time():
    return random.uniform(0.9, 1.2)


async def send(lab, machine, kind):
    if kind == "visits":
        return await stand_ins.send_request(lab, machine, "POST", HOST, "/visits/7", 5000, b"visit")
    return await stand_ins.send_request(lab, machine, "GET", HOST, "/jobs/7", 5000)


async def consume(lab, machine, kinds, until, answers):
    """One consumer: a request after the other. It waits as long as a refusal says.

    It goes on to the next kind once a request of it was not answered.
    """
    kinds = list(kinds)
    while lab.now() < until:
        answer = await send(lab, machine, kinds[0])
        answers.append(answer)
        if answer.status == 0:
            if len(kinds) > 1:
                kinds.pop(0)
            await asyncio.sleep(random.uniform(0.02, 0.08))
        elif answer.status != 200:
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.1)))


async def case(lab):
    node = await lab.add_machine("a-1", "a", "dispatch")
    await lab.add_machine("a-2", "a", "fleet", work_s=work_time, slots=9)
    await lab.add_machine("b-1", "b", "dispatch")
    await lab.add_machine("b-2", "b", "fleet", work_s=work_time, slots=9)
    runs = collections.Counter()
    original = lab.record

    def record(what, **fields):
        original(what, **fields)
        if what == "server runs" and fields["method"] == "POST":
            runs[fields["request"]] += 1

    lab.record = record
    await lab.start()
    await lab.store.put("keyed.op", "config", stand_ins.config(
        1, [stand_ins.route("visits", HOST, "/visits/", "non_idempotent", "fleet", 5.0, 4.0,
                            priority=1),
            stand_ins.route("jobs", HOST, "/jobs/", "idempotent", "fleet", 5.0, 2.6, priority=2)],
        ["dispatch", "fleet"]))
    await lab.wait_ready()
    await asyncio.sleep(2.0)
    answers = []
    other = lab.machines["b-1"]
    # The other machine's consumers are there first, so both servers have answered both kinds.
    others = [asyncio.create_task(consume(lab, other, [kind], lab.now() + 3.0, answers))
              for kind in ("jobs", "visits") for _ in range(2)]
    await asyncio.sleep(3.5)
    until = lab.now() + 6.0
    consumers = [asyncio.create_task(consume(lab, node, ("jobs", "visits"), until, answers))
                 for _ in range(CONSUMERS)]
    if lab.trouble:
        await asyncio.sleep(0.3)
        await node.restart_node(signal.SIGKILL, RESTART_S)
    await asyncio.gather(*consumers, *others)
    await asyncio.sleep(2.0)
    twice = [request for request, count in runs.items() if count > 1]
    refused = [answer.request_id for answer in answers
               if answer.status in REFUSALS and runs[answer.request_id] > 0]
    foreign = [answer.request_id for answer in answers
               if answer.status == 200 and not answer.is_own()]
    for rule, found in (("TWICE", twice), ("REFUSED", refused), ("MIXED", foreign)):
        for request in found:
            lab.record(rule, request=request)
    print(f"{len(answers)} requests, {sum(a.status == 200 for a in answers)} successes; "
          f"{len(twice)} ran twice, {len(refused)} ran and were answered 503 or 429, "
          f"{len(foreign)} got the answer to another request")
    if not any(answer.status == 200 for answer in answers):
        raise stand_ins.CannotRun("no request was served")
    return not twice


stand_ins.play(FOLDER, case)
