"""A server leaves while its node is restarted; a late check-in makes the node use it again."""

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
ARRIVES_S = 0.7  # From the new process's start to the arrival of the late check-in.
SERVES_ON_S = 11.0  # How long the server serves after the acknowledgement of its leaving.


async def consume(lab, machine, until, answers):
    while lab.now() < until:
        answers.append(await stand_ins.send_request(lab, machine, "POST", HOST, "/visits/7", 2000,
                                                    b"visit"))
        await asyncio.sleep(0.1)


async def case(lab):
    node = await lab.add_machine("a-1", "a", "dispatch", work_s=0.16)
    for name, zone in (("a-2", "a"), ("b-1", "b"), ("b-2", "b")):
        await lab.add_machine(name, zone, "dispatch", work_s=0.16)
    await lab.start()
    await lab.store.put("keyed.op", "config", stand_ins.config(
        1, [stand_ins.route("visits", HOST, "/visits/", "non_idempotent", "dispatch", 2.0, 0.5)],
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
    consumers = [asyncio.create_task(consume(lab, node, lab.now() + SERVES_ON_S + 5.0, answers))
                 for _ in range(8)]
    await asyncio.sleep(1.0)
    restart = None
    if lab.trouble:
        restart = asyncio.create_task(node.restart_node(signal.SIGTERM, RESTART_S))
        await asyncio.sleep(1.0)
    # The server sends this check-in now; it will arrive late.
    path, late_body = server.beat()
    sent_at = lab.now()
    await asyncio.sleep(0.3)
    if await server.leave() != 200:
        raise stand_ins.CannotRun("the leaving was not acknowledged")
    left_at = lab.now()
    in_touch_at = left_at
    if lab.trouble:
        await restart
        in_touch_at = lab.now() + BOUNDS["contactS"]
    await asyncio.sleep(ARRIVES_S)
    status = await server.call_control("PUT", path, late_body)
    late_s = round(lab.now() - sent_at, 1)
    lab.record("late check-in arrives", server=server.id, status=status, late_s=late_s)
    await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - lab.now()))
    await server.exit()
    exited_at = lab.now()
    await asyncio.gather(*consumers)
    # Consumers use only this machine, so it has taken the request and sent it on.
    late = [request for at, request in reached
            if at > max(left_at + BOUNDS["drainS"], in_touch_at)]
    lost = [answer.request_id for answer in answers
            if answer.request_id in late and answer.status != 200]
    for request in late:
        lab.record("DRAIN", request=request, lost=request in lost)
    served = sum(answer.status == 200 for answer in answers)
    print(f"{served} of {len(answers)} requests served; the check-in was {late_s} s late; "
          f"{len(late)} requests reached the server later than {BOUNDS['drainS']} s after its leaving "
          f"was acknowledged, by a machine in touch; {len(lost)} of them were lost when it exited, "
          f"{round(exited_at - left_at, 1)} s after that acknowledgement")
    if served * 4 < len(answers):
        raise stand_ins.CannotRun("the installation did not serve")
    return not late


stand_ins.play(FOLDER, case)
