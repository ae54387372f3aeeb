"""The cost of a single proxy or controller that receives the input of a fleet of a given size."""

from __future__ import annotations

import gc
import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

from sailward import constants
from sailward.config.check import check_config
from sailward.consensus.messages import BadMessage
from sailward.control.controller import Controller
from sailward.discovery.peer_table import KINDS_ON_WIRE
from sailward.events import CallFinished, MessageReceived, RequestReceived, Respond, StartCall, TimerFired
from sailward.proxy.proxy import Proxy
from sailward.transport.message_transport import LENGTH, pack_body, read_body

from .deployment import (
    Size,
    hosted_of,
    make_document,
    make_patch,
    merge_patch,
    pushed_fleet,
    pushed_workers,
    service_name,
    unique_name,
    zones_of,
)

CONTROLLER_ADDRESS = "10.1.0.1:7000"
REPEATS = 3
PARTS = {
    "list": ("workers", (500, 1000, 2000, 4000, 8000, 16000, 32000, 63000)),
    "fleet": ("daemons", (100, 300, 1000, 3000, 6000, 12000)),
    "config": ("routes", (100, 300, 1000, 2500, 5000, 10000, 31000)),
    "tenants": ("tenants", (1000, 3000, 10000, 30000, 100000)),
    "place": ("workers of the service", (8, 32, 128, 512, 1024)),
    "halls": ("services x zones", (100, 1000, 10000, 50000, 176000)),
    "core": ("daemons", (272, 1000, 3000, 6000, 12000)),
    "askers": ("askers of a controller", (10, 30, 100, 136, 300, 1000)),
}
"""{part: (the varied size, its values)}"""


def measure_part(*, name: str, sizes: tuple, report_progress: Callable[[str], None]) -> dict:
    """Measure all points of one part.

    Returns {figure: [[size, median, minimum, maximum], ...]} over REPEATS runs.
    """
    measure = {
        "list": _measure_list,
        "fleet": _measure_fleet,
        "config": _measure_config,
        "tenants": _measure_tenants,
        "place": _measure_placement,
        "halls": _measure_zones,
        "core": _measure_controller,
        "askers": _measure_asks,
    }[name]
    points: dict = {}
    for size in sizes:
        runs = []
        for _ in range(REPEATS):
            gc.collect()
            gc.disable()
            runs.append(measure(size=size))
            gc.enable()
        for figure in runs[0]:
            values = sorted(run[figure] for run in runs)
            points.setdefault(figure, []).append([size, statistics.median(values), values[0], values[-1]])
        report_progress(f"{name} {size}: " + " ".join(f"{figure}={points[figure][-1][1]:.6g}" for figure in points))
    return points


def make_proxy(*, size: Size) -> Proxy:
    """A proxy that follows a controller."""
    hosted = hosted_of(size=size, role="proxy", index=0, zones=zones_of(size=size))
    proxy = Proxy(location=hosted.location, start=1, rng=random.Random(1), options=hosted.options)
    proxy.control_client.followed_controller = CONTROLLER_ADDRESS
    return proxy


def make_push(*, name: str, number: int, text: str) -> dict:
    """A push message with this text."""
    return {
        "kind": "push",
        "seq": number,
        "name": name,
        "number": number,
        "ballot": [0, ""],
        "value": {"number": number, "mark": CONTROLLER_ADDRESS, "trail": [], "text": text},
    }


def config_text(*, size: Size, version: int = 1) -> str:
    """A configuration as the register holds it, without its history."""
    return json.dumps({"written": make_document(size=size, version=version)}, separators=(",", ":"))


def _cpu_seconds(action: Callable[[], object]) -> float:
    started_at = time.process_time()
    action()
    return time.process_time() - started_at


def _deliver(*, proxy: Proxy, body: dict, now: float) -> list:
    return proxy.step(now=now, event=MessageReceived(sender=CONTROLLER_ADDRESS, body=body))


def _measure_push(*, size: Size, name: str, texts: tuple[str, str]) -> tuple[dict, Proxy]:
    """The cost of packing, unpacking and handling a push of a register or list.

    The second of two pushes is timed, as the first one builds new state.
    """
    proxy = make_proxy(size=size)
    bodies = [make_push(name=name, number=at + 1, text=text) for at, text in enumerate(texts)]
    frames: list[bytes] = []
    pack = _cpu_seconds(lambda: frames.append(pack_body(body=bodies[1])))
    length, encoding = LENGTH.unpack_from(frames[0])
    reads: list = []
    unpack = _cpu_seconds(lambda: reads.append(read_body(payload=frames[0][LENGTH.size :], encoding=encoding)))
    _deliver(proxy=proxy, body=bodies[0], now=1.0)
    take = _cpu_seconds(lambda: _deliver(proxy=proxy, body=bodies[1], now=2.0))
    figures = {
        "text_bytes": len(texts[1]),
        "frame_bytes": len(frames[0]),
        "pack_s": pack,
        "unpack_s": unpack,
        "take_s": take,
        "readable": 0 if isinstance(reads[0], BadMessage) or length > constants.MAX_FRAME_BYTES else 1,
    }
    ticks = [
        _cpu_seconds(lambda at=at: proxy.step(now=3.0 + at * constants.TICK_INTERVAL, event=TimerFired(wall=1.0)))
        for at in range(40)
    ]
    return {**figures, "tick_s": statistics.fmean(ticks)}, proxy


def _measure_memory(*, size: Size, name: str, text: str) -> int:
    """Bytes of memory that a proxy uses for this push, including its own copy of the text."""
    proxy = make_proxy(size=size)
    tracemalloc.start()
    body = json.loads(json.dumps(make_push(name=name, number=1, text=text)))
    _deliver(proxy=proxy, body=body, now=1.0)
    del body
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory


def _measure_list(*, size: int) -> dict:
    shape = Size(workers=size, services=max(1, size // 32), zones=8, regions=4)
    text = pushed_workers(size=shape)
    figures, _ = _measure_push(size=shape, name="workers", texts=(text, text))
    return {**figures, "held_bytes": _measure_memory(size=shape, name="workers", text=text)}


def _measure_fleet(*, size: int) -> dict:
    shape = Size(daemons=size, zones=max(4, size // 136), regions=4)
    text = pushed_fleet(size=shape, zones=zones_of(size=shape))
    figures, proxy = _measure_push(size=shape, name="fleet", texts=(text, text))
    request = RequestReceived(
        token="directory 1", method="GET", path="/proxies", query={}, headers={}, body=b"", target="/proxies"
    )
    figures["resolve_s"] = _cpu_seconds(lambda: [proxy.step(now=9.0, event=request) for _ in range(20)]) / 20
    return {**figures, "held_bytes": _measure_memory(size=shape, name="fleet", text=text)}


def _measure_config(*, size: int) -> dict:
    shape = Size(routes=size, services=max(2, size // 16), zones=8, regions=4)
    texts = (config_text(size=shape), config_text(size=shape, version=2))
    figures, proxy = _measure_push(size=shape, name="config", texts=texts)
    full = proxy.options.expand(make_document(size=shape, version=2))
    check = _cpu_seconds(lambda: check_config(config=full))
    written = make_document(size=shape, version=2)
    expand = _cpu_seconds(lambda: proxy.options.expand(written))
    merge = _cpu_seconds(lambda: merge_patch(written, make_patch(size=shape, version=3)))
    delta = json.dumps(make_patch(size=shape, version=3), separators=(",", ":"))
    frame = pack_body(body=make_push(name="config", number=3, text=delta))
    figures |= {"expand_s": expand, "merge_s": merge, "delta_frame_bytes": len(frame)}
    return {**figures, "check_s": check, "held_bytes": _measure_memory(size=shape, name="config", text=texts[0])}


def _measure_tenants(*, size: int) -> dict:
    """Tenants do not exist in the platform's format, so they are added to the product's own expanded form."""
    shape = Size(routes=4, services=2, divided=0)
    proxy = make_proxy(size=shape)
    full = proxy.options.expand(make_document(size=shape, version=1))
    full["tenants"] = {
        unique_name(kind="tenant", index=index): {"homes": [f"region-{index % 37}"], "share": 1}
        for index in range(size)
    }
    text = json.dumps({"full": full}, separators=(",", ":"))
    body = make_push(name="config", number=1, text=text)
    frames: list[bytes] = []
    pack = _cpu_seconds(lambda: frames.append(pack_body(body=body)))
    take = _cpu_seconds(lambda: _deliver(proxy=proxy, body=body, now=1.0))
    return {
        "text_bytes": len(text),
        "frame_bytes": len(frames[0]),
        "pack_s": pack,
        "take_s": take,
        "held_bytes": _measure_memory(size=shape, name="config", text=text),
    }


def free_route(*, size: Size) -> tuple[str, dict]:
    """A path and headers that match a repeatable route of a service that is not sharded."""
    divided = {service_name(size=size, index=index) for index in range(size.divided)}
    listener, rule = next(
        (listener, rule)
        for listener in make_document(size=size, version=1)["listeners"]
        for rule in listener["ruleset"]
        if rule["route_kind"] == "idempotent" and rule["verdict"]["split_to"][0]["service"] not in divided
    )
    return rule["matcher"]["path_prefix"] + "x", {
        "host": listener["hostname"],
        "attempt-id": "a",
        "time-budget": "2000",
    }


def _measure_requests(*, size: Size, count: int) -> dict:
    """Processor time of the proxy per request, without I/O; and of counting workers for zone health."""
    proxy = make_proxy(size=size)
    for name, text in (
        ("config", config_text(size=size)),
        ("workers", pushed_workers(size=size)),
        ("fleet", pushed_fleet(size=size, zones=zones_of(size=size))),
    ):
        _deliver(proxy=proxy, body=make_push(name=name, number=1, text=text), now=1.0)
    proxy.step(now=1.1, event=TimerFired(wall=1.0))
    path, headers = free_route(size=size)

    def exchange(at: int) -> None:
        request = RequestReceived(
            token=f"front {at}", method="GET", path=path, query={}, headers=headers, body=b"", target=path
        )
        call = next(command for command in proxy.step(now=1.2, event=request) if isinstance(command, StartCall))
        finished = CallFinished(
            token=call.token,
            code=200,
            headers={"attempt-id": "a", "server-seal": "s", "instance-id": call.owner},
            body=b"{}",
            fault="",
            sent=True,
        )
        answer = next(command for command in proxy.step(now=1.25, event=finished) if isinstance(command, Respond))
        assert answer.code == 200, answer

    exchange(0)
    elapsed = _cpu_seconds(lambda: [exchange(at + 1) for at in range(count)])
    counting = _cpu_seconds(proxy.context.counts)
    return {"request_s": elapsed / count, "count_s": counting}


def _measure_placement(*, size: int) -> dict:
    return _measure_requests(
        size=Size(workers=2 * size, services=2, routes=4, zones=8, regions=4, divided=0, daemons=4), count=60
    )


def _measure_zones(*, size: int) -> dict:
    # every service has a worker in each zone, as only zones with a worker count for a service
    services = max(2, size // 88)
    zones = min(88, size // 2)
    shape = Size(
        workers=services * zones, services=services, routes=8, zones=zones, regions=min(37, zones), divided=0, daemons=4
    )
    proxy = make_proxy(size=shape)
    rows = [
        {
            "id": f"w{service}.{zone}",
            "generation": 0,
            "service": service_name(size=shape, index=service),
            "address": "10.0.0.9:1",
            "hall": f"zone-{zone}",
            "leaving": False,
            "capacity": 4,
            "cold_s": 0.0,
        }
        for service in range(services)
        for zone in range(zones)
    ]
    for name, text in (("config", config_text(size=shape)), ("workers", json.dumps(rows))):
        _deliver(proxy=proxy, body=make_push(name=name, number=1, text=text), now=1.0)
    proxy.step(now=1.1, event=TimerFired(wall=1.0))
    path, headers = free_route(size=shape)

    def exchange(at: int) -> None:
        request = RequestReceived(
            token=f"front {at}", method="GET", path=path, query={}, headers=headers, body=b"", target=path
        )
        call = next(command for command in proxy.step(now=1.2, event=request) if isinstance(command, StartCall))
        answered = {"attempt-id": "a", "server-seal": "s"}
        proxy.step(
            now=1.25, event=CallFinished(token=call.token, code=200, headers=answered, body=b"{}", fault="", sent=True)
        )

    exchange(0)
    elapsed = _cpu_seconds(lambda: [exchange(at + 1) for at in range(10)])
    count = _cpu_seconds(lambda: proxy.step(now=1.3, event=TimerFired(wall=1.0)))
    return {"request_s": elapsed / 10, "count_and_tick_s": count}


def make_controller(*, size: Size, asking_proxies: int) -> tuple[Controller, list[MessageReceived]]:
    """The only member of a control group, and the requests of this many proxies that follow it."""
    single = Size(**{**vars(size), "controllers": 1})
    zones = zones_of(size=size)
    hosted = hosted_of(size=single, role="controller", index=0, zones=zones)
    controller = Controller(
        location=hosted.location,
        platform="",
        nonce="n",
        start=1,
        rng=random.Random(1),
        records=[],
        now=0.0,
        options=hosted.options,
    )
    asks = []
    for index in range(asking_proxies):
        location = hosted_of(size=single, role="proxy", index=index, zones=zones).location
        daemon = {
            "id": location.name,
            "kind": KINDS_ON_WIRE[location.kind],
            "hall": location.zone,
            "region": location.region,
            "http": location.http,
            "start": 1,
            "fit": True,
            "version": "",
        }
        have = {"workers": [-1, "elsewhere"], "fleet": [1, "elsewhere"]}
        asks.append(
            MessageReceived(
                sender=location.post,
                body={
                    "kind": "ask",
                    "seq": 1,
                    "have": have,
                    "report": {"down": [], "loads": {}, "turn": 1, "lead": ""},
                    "daemon": daemon,
                },
            )
        )
    return controller, asks


def _measure_controller(*, size: int) -> dict:
    asking_proxies = min(136, size // 2)
    zones = max(2, size // 136)
    shape = Size(daemons=size, zones=zones, regions=min(37, zones))
    controller, asks = make_controller(size=shape, asking_proxies=asking_proxies)
    rows = json.loads(pushed_fleet(size=shape, zones=zones_of(size=shape)))["proxies"][asking_proxies:]
    others = max(1, size // 136 - 1)
    share = -(-len(rows) // others)
    frames = []
    for at in range(others):
        body = {"kind": "fleet", "number": 1, "rows": rows[at * share : (at + 1) * share], "loads": {}, "down": {}}
        frames.append(len(pack_body(body=body)))
        controller.step(now=1.0, event=MessageReceived(sender=f"10.9.{at}.1:7000", body=body))
    for ask in asks:
        controller.step(now=1.0, event=ask)
    controller.step(now=1.05, event=TimerFired(wall=1.0))
    ticks = [
        _cpu_seconds(lambda at=at: controller.step(now=1.1 + at * constants.TICK_INTERVAL, event=TimerFired(wall=1.0)))
        for at in range(10)
    ]
    ask = _cpu_seconds(lambda: [controller.step(now=1.7, event=ask) for ask in asks]) / len(asks)
    return {
        "tick_s": statistics.fmean(ticks),
        "ask_s": ask,
        "fleet_text_bytes": len(controller.proxy_registry.text),
        "fleet_message_bytes": statistics.fmean(frames),
    }


def _measure_asks(*, size: int) -> dict:
    controller, asks = make_controller(size=Size(daemons=size, zones=4), asking_proxies=size)
    for ask in asks:
        controller.step(now=1.0, event=ask)
    controller.step(now=1.05, event=TimerFired(wall=1.0))
    ask = _cpu_seconds(lambda: [controller.step(now=1.2, event=ask) for ask in asks]) / len(asks)
    ticks = [
        _cpu_seconds(lambda at=at: controller.step(now=1.3 + at * constants.TICK_INTERVAL, event=TimerFired(wall=1.0)))
        for at in range(10)
    ]
    return {"ask_s": ask, "tick_s": statistics.fmean(ticks)}
