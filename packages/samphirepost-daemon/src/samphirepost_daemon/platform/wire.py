"""The platform's HTTP formats for callers and for engines."""

import base64
import math
import typing
import urllib.parse

import msgspec

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import embeddedhead
from samphirepost import errors
from samphirepost import fingerprint
from samphirepost import organisations
from samphirepost import promptcache
from samphirepost import slotmessages

READINESS_PATH = "/readiness"
REPORT_PATH = "/report"
JOBS_PREFIX = "/lots/"
ITEMS_PREFIX = "/items/"

REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
TARGET_ID_HEADER = "Target-Instance"
WEIGHTS_HEADER = "Expect-Version"
RESUME_AFTER_HEADER = "Last-Event-Id"
RESUMES_HEADER = "Resumes"
NOT_EXECUTED_HEADER = "not-executed"
SEAL_HEADER = "response-seal"
PROMPT_HEADER = "Prompt-Prefix"
LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
CREDENTIAL_HEADER = "Credential"
ORGANISATION_HEADER = "Tenant"
TOKENS_HEADER = "Token-Count"
# Longest id of a part of a prompt, and most shared parts of one.
PART_ID_LENGTH_MAX = 64
SHARED_PARTS_MAX = 64
# Most tokens of a prompt, of an output or of an item: far beyond any engine's
# memory, and sums over a daemon's work fit into 64 bits.
TOKENS_MAX = 1_000_000_000
WAIT_HEADER = "Wait-Ms"
# Digits of the largest number in a header or query.
NUMBER_DIGITS_MAX = 18

# Hop-by-hop headers, which are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
# Headers that the daemon removes or sets where organisations are declared.
_ORGANISATION_HEADERS = frozenset(
    (CREDENTIAL_HEADER.lower(), ORGANISATION_HEADER.lower())
)
# Headers that the daemon sets itself in a request to an engine.
_DAEMON_HEADERS = frozenset(
    (
        "content-length",
        DEADLINE_HEADER.lower(),
        TARGET_ID_HEADER.lower(),
        RESUME_AFTER_HEADER.lower(),
    )
)
_RESULT_STATES = {
    batchjob.FinalStatus.DONE: "done",
    batchjob.FinalStatus.GIVEN_UP: "dead_letter",
}


class Request(msgspec.Struct, frozen=True):
    """A caller's request, as it is sent to an engine.

    `resume_after` is the id of the last event that the caller received,
    `resumes` the id of the request that brought the first one, and
    `caller_timeout_s` the time that the caller allows for the request.
    `shared_parts` are the ids of the parts of its prompt, in order, without
    the last one, which is the request's own. `digest` is equal for requests
    of one caller with the same content. `key_digest` is that of the caller's
    key, of organisations.key_digest(); the `organisation` and its `priority`
    are known once the key was checked. `prompt` has all parts of the prompt,
    and the answer has `output_tokens` at most, unless that is 0.
    """

    id: str
    method: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    resume_after: int | None = None
    caller_timeout_s: float | None = None
    shared_parts: tuple[str, ...] = ()
    digest: str = ""
    resumes: str = ""
    key_digest: str = ""
    organisation: str = ""
    priority: int | None = None
    prompt: tuple[slotmessages.PromptPart, ...] = ()
    output_tokens: int = 0


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: typing.Annotated[int, msgspec.Meta(ge=0, le=TOKENS_MAX)] = 0


class _Submission(msgspec.Struct):
    requests: list[_Item]


def parse_request(environ):
    """Returns the Request in a WSGI environment.

    Returns a Failure if a header with a number is malformed.
    """
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    headers_by_name = {name.lower(): value for name, value in headers}
    try:
        resume_after = _parse_number(headers_by_name, RESUME_AFTER_HEADER)
        timeout_ms = _parse_number(headers_by_name, DEADLINE_HEADER)
    except ValueError as exc:
        return errors.Failure(errors.Kind.BAD_REQUEST, str(exc))
    method, path = environ["REQUEST_METHOD"], environ["REQUEST_URI"]
    host = headers_by_name.get("host", "")
    body = environ["wsgi.input"].read()
    prompt = headers_by_name.get(PROMPT_HEADER.lower(), "")
    key = headers_by_name.get(CREDENTIAL_HEADER.lower(), "")
    return Request(
        id=headers_by_name.get(REQUEST_ID_HEADER.lower(), ""),
        method=method,
        path=path,
        host=host,
        headers=_forwarded_headers(headers),
        body=body,
        resume_after=resume_after,
        resumes=headers_by_name.get(RESUMES_HEADER.lower(), ""),
        caller_timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        shared_parts=_parse_shared_parts(prompt),
        digest=fingerprint.request_digest(method, host, path, key, body),
        # WSGI gives the bytes of a header as Latin-1.
        key_digest=organisations.key_digest(key.encode("latin-1", "replace")),
        prompt=_parse_prompt(prompt),
        output_tokens=_parse_output_tokens(
            headers_by_name.get(TOKENS_HEADER.lower(), "")
        ),
    )


def with_organisation(req, name, priority=None):
    """Returns a request as engines get it where organisations are declared.

    It has the name of the organisation, unless that is empty, and no key.
    """
    return msgspec.structs.replace(
        req,
        organisation=name,
        priority=priority,
        headers=_organisation_headers(req.headers, name),
    )


def _organisation_headers(headers, name):
    kept = tuple(
        pair
        for pair in headers
        if pair[0].lower() not in _ORGANISATION_HEADERS
    )
    return (*kept, (ORGANISATION_HEADER, name)) if name else kept


def _parse_prompt(value):
    """Returns the PromptParts in a list of ID:TOKENS entries.

    Returns none if one of them is malformed, or if they have more than
    TOKENS_MAX: no engine has room for them.
    """
    found = []
    total = 0
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if not 0 < len(part_id) <= PART_ID_LENGTH_MAX:
            return ()
        if not _is_number(tokens):
            return ()
        total += int(tokens)
        if total > TOKENS_MAX:
            return ()
        found.append(slotmessages.PromptPart(part_id.lower(), int(tokens)))
    return promptcache.shortened(found)


def parse_prompt(value):
    """Returns the shared parts and all PromptParts that a header names."""
    return _parse_shared_parts(value), _parse_prompt(value)


def _parse_output_tokens(value):
    """Returns the second number of a list of two, or 0.

    Returns 0 for more than TOKENS_MAX.
    """
    tokens = value.partition(",")[2].strip()
    if not _is_number(tokens) or int(tokens) > TOKENS_MAX:
        return 0
    return int(tokens)


def _parse_shared_parts(value):
    """Returns the ids in a list of ID:TOKENS entries, without the last."""
    entries = [entry.strip() for entry in value.split(",")]
    ids = (entry.partition(":")[0].lower() for entry in entries[:-1])
    return tuple(
        part_id for part_id in ids if 0 < len(part_id) <= PART_ID_LENGTH_MAX
    )[:SHARED_PARTS_MAX]


def _parse_number(headers_by_name, name):
    value = headers_by_name.get(name.lower())
    if value is None:
        return None
    if not _is_number(value.strip()):
        raise ValueError(f"{name} is not a whole number: {value!r}")
    return int(value)


def _forwarded_headers(headers):
    excluded = {"host"}
    for name, value in headers:
        if name.lower() == "connection":
            excluded.update(part.strip().lower() for part in value.split(","))
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in _DAEMON_HEADERS
        and name.lower() not in excluded
    )


def engine_headers(req, engine, left_s, resume_after):
    """Returns the headers of a request to one engine.

    `left_s` is the time left to the deadline.
    """
    headers = [("Host", req.host), *req.headers]
    headers.append((TARGET_ID_HEADER, engine.id))
    headers.append((DEADLINE_HEADER, str(max(1, int(left_s * 1000)))))
    if resume_after is not None:
        headers.append((RESUME_AFTER_HEADER, str(resume_after)))
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(req.body))))
    headers.append(("Connection", "close"))
    return headers


def report_request(engine):
    """Returns method, path, headers and body that ask for its report."""
    headers = [
        ("Host", engine.address),
        (TARGET_ID_HEADER, engine.id),
        ("Connection", "close"),
    ]
    return ("GET", REPORT_PATH, headers, b"")


def is_report_of(head, body, engine):
    """Whether this incarnation of an engine answered report_request().

    Any answer shows that an engine runs, unless it names another start.
    """
    if is_from_another_engine(head):
        return False
    found = codec.from_json(body, _Report)
    if isinstance(found, errors.Failure):
        return True
    return 0 in (found.born, engine.started_ms) or (
        found.born == engine.started_ms
    )


def reported_start(head, body):
    """Returns the start (ms) that the answer to report_request() names.

    Returns None if it is another engine's answer, or names none.
    """
    if head.status != 200 or is_from_another_engine(head):
        return None
    found = codec.from_json(body, _Report)
    if isinstance(found, errors.Failure):
        return None
    return found.born or None


def is_response_to(head, req):
    """Whether an engine's response belongs to this request."""
    return head.get(REQUEST_ID_HEADER.lower()) == req.id


def is_complete_head(head):
    """Whether the head of a response has what each successful one has.

    One that was cut off may end in an empty line all the same.
    """
    is_success = 200 <= head.status < 300
    return not is_success or is_sealed(head)


def is_sealed(head):
    """Whether the head of a response has its engine's signature."""
    return bool(head.get(SEAL_HEADER))


def holds_another_answer(body, req):
    """Whether a body has the head of an answer to the same request in it.

    An engine that answers twice on a connection puts it there, if its first
    answer has no length or lacks bytes of it.
    """
    return embeddedhead.holds_head(body, REQUEST_ID_HEADER, req.id)


def is_other_content(head):
    """Whether a response says that it is no series of events."""
    return bool(head.get("content-type")) and not is_event_stream(head)


def is_event_stream(head):
    """Whether a response is a series of events."""
    content_type = head.get("content-type") or ""
    return content_type.partition(";")[0].strip() == "text/event-stream"


def named_limit(head):
    """Returns the requests a second that an engine takes, or None.

    The rate is for all daemons together; None if the response names none.
    """
    value = head.get(LIMIT_HEADER)
    if value is None:
        return None
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None


def is_leaving(head):
    """Whether an engine says in its answer that it leaves."""
    value = head.get(LEAVING_HEADER)
    return value is not None and value.strip() not in ("", "0")


def is_from_another_engine(head):
    """Whether the engine at the address is not the one that was meant."""
    return head.status == 421


def is_stale_target(head, req):
    """Whether an answer says that its engine is not the one that was named.

    Engines refuse a request for other weights than theirs in the same way:
    then the answer says nothing of the engine.
    """
    names_weights = any(
        name.lower() == WEIGHTS_HEADER.lower() for name, _ in req.headers
    )
    return is_from_another_engine(head) and not names_weights


def is_rejected(head):
    """Whether an engine reports that it has not run the request."""
    return NOT_EXECUTED_HEADER in head.headers or head.status == 421


def response_headers(head):
    """Returns the headers of an engine's response that go to the caller."""
    excluded = set()
    for value in head.all("connection"):
        excluded.update(part.strip().lower() for part in value.split(","))
    return [
        (name.title(), value)
        for name, values in head.headers.items()
        for value in values
        if name not in _HOP_BY_HOP_HEADERS
        and name not in excluded
        and name != "content-length"
    ]


def item_request(record, item):
    """Returns the request that runs one item of a batch job."""
    headers = [(REQUEST_ID_HEADER, item.id)]
    for name, value in item.headers.items():
        if (
            name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() not in _DAEMON_HEADERS
        ):
            if name.lower() not in ("host", REQUEST_ID_HEADER.lower()):
                headers.append((name, value))
    req = Request(
        item.id,
        "POST",
        item.path,
        record.host,
        tuple(headers),
        item.body,
        shared_parts=shared_parts(item),
    )
    if not record.organisation:
        return req
    return with_organisation(req, record.organisation)


def shared_parts(item):
    """Returns the ids of an item's shared prompt parts; see Request."""
    return _parse_shared_parts(_item_header(item, PROMPT_HEADER))


def prompt_of(item):
    """Returns the PromptParts of an item; see Request."""
    return _parse_prompt(_item_header(item, PROMPT_HEADER))


def output_tokens_of(item):
    """Returns the most tokens of an item's output; 0 if unknown."""
    return _parse_output_tokens(_item_header(item, TOKENS_HEADER))


def _item_header(item, wanted):
    for name, value in item.headers.items():
        if name.lower() == wanted.lower():
            return value
    return ""


def parse_submission(req, host, route):
    """Returns the Record of a submitted job.

    Returns a Failure if the body cannot be decoded.
    """
    try:
        found = msgspec.json.decode(req.body, type=_Submission)
        items = tuple(
            batchjob.Item(
                item.id,
                item.path,
                item.headers,
                base64.b64decode(item.body),
                item.tokens,
            )
            for item in found.requests
        )
    except codec.UNREADABLE as exc:
        return errors.Failure(errors.Kind.BAD_JSON, str(exc))
    return batchjob.Record(
        req.id, host, route.name, req.path, items, req.organisation
    )


class _Report(msgspec.Struct):
    born: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str


class _Results(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


def encode_results(total, after, found):
    """Returns the response body with results from position `after` on."""
    listed = []
    for result in found:
        text = result.text.decode(errors="replace")
        listed.append(_Result(result.id, _RESULT_STATES[result.end], text))
    return msgspec.json.encode(_Results(total, after + len(listed), listed))


def parse_job_path(path):
    """Returns the job id in the path that reads or closes a job, or None.

    The path comes without its query.
    """
    if path.startswith(JOBS_PREFIX):
        return urllib.parse.unquote(path[len(JOBS_PREFIX) :])
    return None


def parse_item_path(path):
    """Returns the job id in the path that reads an item, or None.

    The path comes without its query.
    """
    if path.startswith(ITEMS_PREFIX):
        return urllib.parse.unquote(path[len(ITEMS_PREFIX) :])
    return None


def parse_result_position(environ):
    """Returns the position in the query from which results are read."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    value = query.get("after", ["0"])[0]
    return int(value) if _is_number(value) else 0


def parse_item_id(environ):
    """Returns the id in the query of the item whose body is read."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    return query.get("id", [""])[0]


def parse_wait_s(environ):
    """Returns how long (s) a caller waits for results if there are none."""
    value = environ.get("HTTP_" + WAIT_HEADER.upper().replace("-", "_"), "0")
    return int(value) / 1000 if _is_number(value) else 0.0


def _is_number(text):
    """Whether a text is a whole number; isdigit() also takes "\u00b2"."""
    is_digits = text.isascii() and text.isdigit()
    return is_digits and len(text) <= NUMBER_DIGITS_MAX
