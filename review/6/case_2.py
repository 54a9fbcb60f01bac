"""A node is stopped while a consumer reads a large answer slowly."""
import asyncio
import os
import re
import signal
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from mesh_lab import route, run_case  # noqa: E402

ANSWER_BYTES = 460_000  # The downloads of endurn-mesh-grown have up to 540,000.
READ_BYTES, READ_PERIOD_S = 5_500, 0.02  # A slow consumer reads so much so often.
DEADLINE_S = 8.0
GRACE_S = 6.0  # graceS, from SIGTERM to SIGKILL.
STOP_AFTER_S = 1.3  # After the first byte of the answer, so that it is all read within graceS.
REQUEST = "slow-reader-1"


def work(_server, _request, _path):
    return 0.2, ANSWER_BYTES


async def read_slowly(lab, node, answer_began):
    """Sends a request and reads its answer steadily. Returns the bytes and the time it took."""
    loop = asyncio.get_running_loop()
    consumer = socket.socket()
    # Segments of an Ethernet and a small window, as the pages give links.
    consumer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    consumer.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    consumer.setblocking(False)
    await loop.sock_connect(consumer, (lab.address, node.ports["outbound"]))
    head = (f"GET /export/1 HTTP/1.1\r\nHost: {lab.host}\r\nRequest-Id: {REQUEST}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n")
    await loop.sock_sendall(consumer, head.encode())
    lab.record.line(f"consumer sends {REQUEST!r} to {node.name} and reads at most {READ_BYTES} bytes "
                    f"each {READ_PERIOD_S} s")
    sent_at = time.monotonic()
    began_at = None
    answer = b""
    while not is_complete(answer):
        try:
            part = await asyncio.wait_for(loop.sock_recv(consumer, READ_BYTES), DEADLINE_S)
        except (OSError, asyncio.TimeoutError) as error:
            lab.record.line(f"the consumer's connection ended with {error!r}")
            break
        if not part:
            lab.record.line("the consumer's connection was closed by the node")
            break
        if began_at is None:
            began_at = time.monotonic()
            answer_began.set()
        answer += part
        await asyncio.sleep(READ_PERIOD_S)
    consumer.close()
    return answer, time.monotonic() - sent_at


def is_complete(answer):
    head, end, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"\r\nContent-Length: (\d+)", head, re.I)
    return bool(end) and length is not None and len(body) >= int(length[1])


async def watch_exit(lab, node, stopped_at):
    """Kills the node after graceS, as the platform does."""
    try:
        await asyncio.wait_for(node.process.wait(), GRACE_S)
        lab.record.line(f"node {node.name} ended by itself {time.monotonic() - stopped_at:.2f} s "
                        f"after SIGTERM with code {node.process.returncode}")
    except asyncio.TimeoutError:
        node.signal(signal.SIGKILL)


async def case(lab, trouble):
    await lab.start([("is-south-a", "claims"), ("is-south-a", "receipts"), ("is-south-b", "claims"),
                     ("is-south-b", "receipts")],
                    [route("export", "/export/", "receipts", "download", timeout=8.0)], work)
    node = lab.nodes[0]
    answer_began = asyncio.Event()
    reading = asyncio.ensure_future(read_slowly(lab, node, answer_began))
    await asyncio.wait([reading, asyncio.ensure_future(answer_began.wait())],
                       return_when=asyncio.FIRST_COMPLETED)
    await asyncio.sleep(STOP_AFTER_S)
    watcher = None
    if trouble:
        node.signal(signal.SIGTERM)
        watcher = asyncio.ensure_future(watch_exit(lab, node, time.monotonic()))
    answer, seconds = await reading
    if watcher is not None:
        await watcher
    lab.record.line(f"consumer has read {len(answer)} bytes, head included, {seconds:.2f} s after "
                    f"its request; complete: {is_complete(answer)}")
    runs = sum(run[0] == REQUEST for server in lab.servers for run in server.runs)
    lab.record.line(f"servers have run the request {runs} times")
    if is_complete(answer) or runs == 0 or seconds >= DEADLINE_S:
        return []
    return [f"LOST: {REQUEST} was passed on to a server, and its connection ended without a "
            f"complete answer after {seconds:.2f} of {DEADLINE_S} s"]


run_case(case, FOLDER)
