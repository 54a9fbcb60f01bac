"""A server runs a request that must not be repeated and answers 503, without Not-Executed."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from mesh_lab import route, run_case  # noqa: E402

REQUESTS = 12


def work(_server, _request, _path):
    return 0.05, 200


def failing(server, request, _path):
    """A grey server: every third request fails after it has run."""
    fails = int(request.rsplit("-", 1)[1]) % 3 == 0
    return 503 if fails and server.trouble else 500 if fails else 200


async def book(lab, node, number):
    """Sends a booking; after a promise that it has not run, once more, as consumers do."""
    attempts = []
    for attempt in (1, 2):
        request = f"attempt-{attempt}-of-{number}"
        answer = await node.request(request, f"/book/{number}", method="POST", body=b"visit")
        attempts.append((request, None if answer is None else answer[0]))
        if answer is None or answer[0] not in (408, 421, 429, 503):
            break
    return attempts


async def case(lab, trouble):
    await lab.start([("is-south-a", "payouts"), ("is-south-b", "payouts")],
                    [route("book", "/book/", "payouts", "non_idempotent")], work)
    for server in lab.servers:
        server.trouble = trouble
        server.status_of = failing
    breaches = []
    for number in range(REQUESTS):
        for request, status in await book(lab, lab.nodes[number % 2], number):
            runs = sum(run[0] == request for server in lab.servers for run in server.runs)
            if status in (408, 421, 429, 503) and runs > 0:
                breaches.append(f"REFUSED: {request}, which must not be repeated, was answered "
                                f"{status} and has run")
    for number in range(REQUESTS):
        runs = sum(run[2] == f"/book/{number}" for server in lab.servers for run in server.runs)
        if runs > 1:
            lab.record.line(f"booking {number} was made {runs} times")
    await asyncio.sleep(0)
    return breaches


run_case(case, FOLDER)
