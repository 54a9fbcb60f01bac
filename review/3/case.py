"""A server has left; its node is restarted, and a late check-in makes it get requests again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as stand_ins

HOST = "shop.example"
BOUNDS = stand_ins.BOUNDS
RESTART_S = 0.5  # The bench starts a process again after half a second.
LATE_S = 3.0  # How much later than the leaving the check-in arrives that was sent before it.
SERVES_ON_S = 12.0  # How long the server serves after the acknowledgement of its leaving.


async def consume(lab, machine, until, answers):
    while lab.now() < until:
        answers.append(await stand_ins.send_request(lab, machine, "GET", HOST, "/jobs/7", 1500))
        await asyncio.sleep(0.1)


async def case(lab):
    node = await lab.add_machine("a-1", "a", "dispatch")
    for name, zone in (("a-2", "a"), ("b-1", "b"), ("b-2", "b")):
        await lab.add_machine(name, zone, "dispatch")
    await lab.start()
    await lab.store.put("keyed.op", "config", stand_ins.config(
        1, [stand_ins.route("jobs", HOST, "/jobs/", "idempotent", "dispatch", 1.5, 0.4)],
        ["dispatch"]))
    await lab.wait_ready()
    await asyncio.sleep(3.0)
    server = node.server
    reached = []
    original = lab.record

    def record(what, **fields):
        original(what, **fields)
        if what == "request reaches a server" and fields["server"] == server.id:
            reached.append((lab.now(), fields["request"]))

    lab.record = record
    answers = []
    consumers = [asyncio.create_task(consume(lab, node, lab.now() + SERVES_ON_S + 1.0, answers))
                 for _ in range(3)]
    await asyncio.sleep(1.0)
    # This check-in is on its way for LATE_S.
    path, late_body = server.beat()
    if await server.leave() != 200:
        raise stand_ins.CannotRun("the leaving was not acknowledged")
    left_at = lab.now()
    restarted_at = left_at
    if lab.trouble:
        await asyncio.sleep(0.2)
        await node.restart_node(signal.SIGKILL, RESTART_S)
        restarted_at = lab.now()
    await asyncio.sleep(max(0.0, left_at + LATE_S - lab.now()))
    status = await server.call_control("PUT", path, late_body)
    lab.record("late check-in arrives", server=server.id, status=status)
    await asyncio.gather(*consumers)
    in_touch_at = restarted_at + BOUNDS["contactS"]
    # Consumers use only this machine, so it has taken the request and sent it on.
    late = [request for at, request in reached
            if at > left_at + BOUNDS["drainS"] and (not lab.trouble or at > in_touch_at)]
    served = sum(answer.status == 200 for answer in answers)
    print(f"{served} of {len(answers)} requests served; {len(late)} reached the server later than "
          f"{BOUNDS['drainS']} s after its leaving was acknowledged, by a machine in touch")
    if served * 4 < len(answers):
        raise stand_ins.CannotRun("the installation did not serve")
    return not late


stand_ins.play(FOLDER, case)
