"""A server leaves, all nodes are killed and start again, and a check-in of the server arrives late."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from mesh_lab import call, route, run_case  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.5  # "after a short delay"
LATE_S = 3.0  # How late the last check-in arrives.
SERVES_ON_S = 11.0  # "drainS after the acknowledgement and a little longer (at times many seconds)"
PERIOD_S = 0.02  # Between the requests of a consumer.


def work(_server, _request, _path):
    return 0.3, 200


async def consume(node, kind, until):
    """Ordinary consumers of one machine, one request after the other, while the node is ready."""
    number = 0
    while time.monotonic() < until:
        number += 1
        if await node.is_ready():
            await node.request(f"{kind}-{node.name}-{number}", f"/{kind[:4]}/{number}",
                               method="POST" if kind.startswith("book") else "GET")
        await asyncio.sleep(PERIOD_S)


async def case(lab, trouble):
    await lab.start([("ist-a", "dispatch"), ("ist-a", "dispatch"), ("ist-b", "dispatch"),
                     ("ist-b", "fleet")],
                    [route("list", "/list/", "dispatch"),
                     route("book", "/book/", "dispatch", "non_idempotent")], work)
    leaving, node = lab.servers[0], lab.nodes[0]
    end = time.monotonic() + SERVES_ON_S + 4
    consumers = [asyncio.ensure_future(consume(one, kind, end))
                 for one in lab.nodes for kind in ("list-1", "list-2", "book-1", "book-2")]
    await asyncio.sleep(CONTACT_S)

    # The last check-in before the server leaves is held up on its way.
    leaving.beats.cancel()
    late_body = leaving.next_check_in()
    lab.record.line(f"server {leaving.id} sends check-in {leaving.sequence}, which is held up")
    sent_at = time.monotonic()
    answer = await call(lab.address, node.ports["control"], "DELETE",
                        f"/-/instances/{leaving.id}", [("Content-Type", "application/json")],
                        leaving.farewell(), 1.0)
    left_at = time.monotonic()
    lab.record.line(f"server {leaving.id} deregisters: {answer and answer[0]}; it serves on for "
                    f"{SERVES_ON_S} s")
    restarted_at = left_at
    if trouble:
        await asyncio.sleep(0.2)
        for one in lab.nodes:
            one.signal(signal.SIGKILL)
        await asyncio.gather(*(one.process.wait() for one in lab.nodes))
        await asyncio.sleep(RESTART_S)
        for one in lab.nodes:
            await one.start()
        restarted_at = time.monotonic()
    await asyncio.sleep(max(0.0, sent_at + LATE_S - time.monotonic()))
    answer = await call(lab.address, node.ports["control"], "PUT", f"/-/instances/{leaving.id}",
                        [("Content-Type", "application/json")], late_body, 1.0)
    lab.record.line(f"the held-up check-in arrives {time.monotonic() - sent_at:.1f} s late: "
                    f"{answer and answer[0]}")
    await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
    await leaving.exit()
    await asyncio.gather(*consumers)
    bound_from = max(left_at + DRAIN_S, restarted_at + CONTACT_S)
    late_runs = [run for run in leaving.arrivals if run[1] > bound_from]
    first = f", the first {late_runs[0][1] - left_at:.1f} s after it" if late_runs else ""
    lab.record.line(f"{len(late_runs)} requests reached server {leaving.id} later than drainS after "
                    f"the acknowledgement, by machines in touch{first}")
    lost = [request for request in leaving.cut if request.startswith("book")]
    lab.record.line(f"{len(leaving.cut)} requests were running when it exited, {len(lost)} of them "
                    f"bookings, which must not be repeated")
    return [f"DRAIN: {len(late_runs)} requests reached the server that had left{first}"] \
        if late_runs else []


run_case(case, FOLDER)
