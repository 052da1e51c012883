"""Settings and configuration trees of embedded routers, and a client for them."""

import json
import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from chervilstall.gateway.auth import token_digest
from chervilstall.gateway.runtime import RouterSettings
from chervilstall.ids import VmId, ZoneName
from chervilstall.measure.shapes import LAYERS, SHAPES, Shape
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.settings.processes import (
    AdmissionSettings,
    ListenSettings,
    RetrySettings,
    RoutingSettings,
    VmSettings,
)
from chervilstall.standin.target_server import ANY_PORT

TOKEN = "measure"
CALL_TIMEOUT_S = 30.0
READ_SIZE_BYTES = 65_536
TAIL_BYTES = 2_000
TOKEN_MARKER = b'"finish_reason":null'


@dataclass(frozen=True)
class CallResult:
    """The result of one call.

    `status` is 0 if the connection failed. `ran` tells whether the request was
    executed: "yes", "no" or "unknown".
    """

    status: int
    ran: str
    body: bytes


def call(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    **headers: str,
) -> CallResult:
    """Make one call on a new connection.

    Underscores in the names of `headers` become hyphens.
    """
    client = HTTPClient(
        address.host,
        address.port,
        network_timeout=CALL_TIMEOUT_S,
        connection_timeout=1.0,
        disable_ipv6=True,
    )
    request_headers = {"Authorization": f"Bearer {TOKEN}"}
    request_headers.update(
        {name.replace("_", "-"): value for name, value in headers.items()}
    )
    try:
        response = client.request(method, path, body=body, headers=request_headers)
        response_body = response.read()
    except (OSError, HTTPParseError):
        return CallResult(0, "unknown", b"")
    finally:
        client.close()
    ran = response.get("chervilstall-ran", "yes")
    return CallResult(response.status_code, str(ran), response_body)


def router_settings(
    retry: RetrySettings, zone: str, concurrency: int = 2_000
) -> RouterSettings:
    """Return settings of an experiment's router, with short timeouts."""
    return RouterSettings(
        vm=VmSettings(vm=VmId("vm-1"), zone=ZoneName(zone)),
        listen=ListenSettings(callers=ANY_PORT, admin=ANY_PORT, drain_wait_s=0.1),
        admission=AdmissionSettings(concurrency=concurrency),
        retry=retry,
        target=TargetSettings(
            connect_timeout_s=0.3,
            first_event_timeout_s=1.0,
            silence_timeout_s=0.7,
            service_timeout_s=0.5,
            poll_interval_s=0.2,
        ),
        routing=RoutingSettings(slow_start_s=1.0),
    )


def grant_text() -> str:
    """Return the grant of the workspace `w`, which the experiments use."""
    return (
        f"[grant]\ntoken_sha256 = {token_digest(TOKEN)}\n"
        "requests_per_s = 1000000\nconcurrency = 1000000\n"
    )


def pipeline_text(model: str) -> str:
    """Return the pipeline `p` of that workspace."""
    return f"[pipeline]\nmodel = {model}\nversion = v1\nrequest_class = standard\n"


def service_texts(instances: int) -> dict[str, str]:
    """Return the texts of a tree with instances of the service `holds`."""
    texts = {"workspaces/w/grant": grant_text()}
    texts["workspaces/w/services/holds"] = "[service]\nservice = holds\n"
    for number in range(instances):
        texts[f"targets/holds-{number}"] = (
            "[target]\nkind = service\nzone = zone-a\naddress = 127.0.0.1:0\n"
            "service = holds\nconcurrency = 200\n"
        )
    return texts


def shape_texts(shape_name: str, seed: int, scale: float) -> tuple[Shape, dict]:
    """Return a fleet shape and the texts of the tree that describes it."""
    shape = SHAPES[shape_name](random.Random(seed), scale)
    texts = {"models/model": f"[model]\nlayers = {LAYERS}\nversions = v1\n"}
    for engine in shape.engines:
        stage = engine.stage_class
        texts[f"targets/{engine.target}"] = (
            f"[target]\nkind = engine\nzone = {stage.zone}\naddress = 127.0.0.1:0\n"
            f"accelerator = {stage.accelerator}\nmodel = model\nversion = v1\n"
            f"first_layer = {stage.first_layer}\nend_layer = {stage.end_layer}\n"
            f"layer_tokens_per_s = {engine.layer_tokens_per_s}\nconcurrency = 64\n"
        )
    for (first, second), rate in shape.links_tokens_per_s.items():
        if first < second:
            texts[f"links/{first}/{second}"] = f"[link]\ntokens_per_s = {rate}\n"
    texts["workspaces/w/grant"] = grant_text()
    texts["workspaces/w/pipelines/p"] = pipeline_text("model")
    return shape, texts


def completion_body(prompt: str, tokens: int) -> bytes:
    """Return the body of a streamed completion request for `tokens` tokens."""
    body = {"model": "p", "prompt": prompt, "max_tokens": tokens, "stream": True}
    return json.dumps(body).encode()


def stream_token_counts(address: Address, body: bytes) -> Iterator[int]:
    """Send a completion request and yield the number of tokens in each read.

    Raises OSError if the stream reports an error or ends without `[DONE]`.
    """
    request_head = (
        "POST /v1/completions HTTP/1.1\r\nHost: measure\r\nConnection: close\r\n"
        f"Authorization: Bearer {TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    server_address = (address.host, address.port)
    with socket.create_connection(server_address, timeout=CALL_TIMEOUT_S) as connection:
        connection.sendall(request_head.encode() + body)
        tail = b""
        while True:
            data = connection.recv(READ_SIZE_BYTES)
            if not data:
                raise ConnectionError("connection closed before the end of the stream")
            yield data.count(TOKEN_MARKER)
            tail = (tail + data)[-TAIL_BYTES:]
            if b"[DONE]" in tail:
                return
            if b'"error"' in tail:
                raise ConnectionError("the stream reported an error")
