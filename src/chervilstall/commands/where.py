"""`chervilstallctl where`: asks a router where a request would go, and prints it."""

import json
import sys

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from chervilstall.commands.ctl_options import Where
from chervilstall.commands.exits import ExitCode
from chervilstall.decoding import decode_untrusted
from chervilstall.settings.option import parse_address
from chervilstall.where_answer import (
    RANDOM,
    WHERE_PATH,
    AdmissionAnswer,
    RankedPath,
    WhereAnswer,
    WhereQuestion,
    parse_question,
)

TIMEOUT_S = 5.0
"""An answer for 430 targets took 1.0 s where 20 routers report (design/where.md)."""

HTTP_MALFORMED = 400
HTTP_UNKNOWN = 404


class _ErrorAnswer(msgspec.Struct):
    error: str = "no reason given"


_answer_decoder = msgspec.json.Decoder(WhereAnswer)
_error_decoder = msgspec.json.Decoder(_ErrorAnswer)


def ask_where(router: str, command: Where) -> ExitCode:
    """Ask a router and print its answer, or the reason why there is none."""
    question = WhereQuestion(
        host=command.host,
        path=command.path,
        model=command.model,
        workspace=command.workspace,
        prompt_tokens=command.prompt_tokens,
        answer_tokens=command.answer_tokens,
        priority=command.priority,
        parts=tuple(command.part),
    )
    try:
        parse_question(question.encode())
    except ValueError as error:
        return _fail(str(error), ExitCode.USAGE)
    try:
        status, content = _get(router, f"{WHERE_PATH}?{question.encode()}")
    except (OSError, HTTPParseError) as error:
        why = str(error) or type(error).__name__
        return _fail(
            f"the router at {router} doesn't answer: {why}", ExitCode.NO_ANSWER
        )
    try:
        if status != 200:
            message = decode_untrusted(_error_decoder, content).error
            return _fail(f"{message} (status {status})", _exit_code(status))
        answer = decode_untrusted(_answer_decoder, content)
    except ValueError as error:
        message = f"{router} is not the address of a router for operators: {error}"
        return _fail(message, ExitCode.NO_ANSWER)
    if command.json:
        print(json.dumps(msgspec.to_builtins(answer), indent=2))
    else:
        print("\n".join(render(answer)))
    return ExitCode.DONE


def _get(router: str, uri: str) -> tuple[int, bytes]:
    address = parse_address(router)
    client = HTTPClient(
        address.host,
        address.port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
        disable_ipv6=True,
    )
    try:
        response = client.get(uri)
        return response.status_code, bytes(response.read())
    finally:
        client.close()


def _exit_code(status: int) -> ExitCode:
    if status == HTTP_MALFORMED:
        return ExitCode.USAGE
    return ExitCode.NOT_FOUND if status == HTTP_UNKNOWN else ExitCode.FAILED


def _fail(message: str, code: ExitCode) -> ExitCode:
    print(f"error: {message}", file=sys.stderr)
    return code


def render(answer: WhereAnswer) -> list[str]:
    """Return the lines that print an answer."""
    workspace = answer.workspace or "none"
    lines = [
        f"router {answer.router} in {answer.zone}, configuration {answer.version}",
        f"route {answer.route}, service {answer.service}, workspace {workspace}, "
        f"priority {answer.priority}, {answer.prompt_tokens} prompt and "
        f"{answer.answer_tokens} answer tokens",
        *_admission_lines(answer.admission),
    ]
    if not answer.paths:
        lines += ["", "no path"]
    for number, path in enumerate(answer.paths):
        title = "chosen path" if number == 0 else f"next path {number}"
        lines += ["", f"{title}: {path.cost:g} {path.unit}", *_path_lines(path)]
    if answer.excluded:
        lines += ["", "excluded targets"]
    for each in answer.excluded:
        detail = f": {each.detail}" if each.detail else ""
        line = f"  {each.target} ({each.zone}) {each.reason} [{each.scope}]{detail}"
        lines.append(line + _age(each.age_s))
    if answer.excluded_more:
        lines.append(f"  and {answer.excluded_more} more")
    if answer.notes:
        lines += ["", *(f"note: {note}" for note in answer.notes)]
    return lines


def _admission_lines(admission: AdmissionAnswer) -> list[str]:
    status = "" if admission.status is None else f" with {admission.status}"
    lines = [f"{admission.outcome}{status}: {admission.reason}"]
    if admission.expected_wait_s is not None and admission.longest_wait_s is not None:
        lines.append(
            f"  expected wait {admission.expected_wait_s:g} s, "
            f"at most {admission.longest_wait_s:g} s"
        )
    if admission.retry_after_s is not None:
        low_s, high_s = admission.retry_after_s
        bounds = f"{low_s:g}" if low_s == high_s else f"{low_s:g} to {high_s:g}"
        lines.append(f"  Retry-After of a refusal: {bounds} s")
    return lines


def _path_lines(path: RankedPath) -> list[str]:
    lines: list[str] = []
    for stage in path.stages:
        layers = ""
        if stage.first_layer is not None:
            layers = f" layers {stage.first_layer}..{stage.end_layer}"
        lines.append(f"  {stage.target} ({stage.zone}){layers}: {stage.cost:g}")
    if path.is_maximum:
        lines.append("  of the costliest stage:")
    zero: list[str] = []
    for part in path.parts:
        if not part.value and part.name != RANDOM:
            zero.append(part.name + _age(part.age_s))
            continue
        source = part.source if part.name == RANDOM else f"from {part.source}"
        line = f"    {part.name} {part.value:g} {part.unit}, {source}"
        lines.append(line + _age(part.age_s))
    if zero:
        lines.append(f"    0: {', '.join(zero)}")
    return lines


def _age(age_s: float | None) -> str:
    return "" if age_s is None else f" ({age_s:.2f} s old)"
