"""Asks an entry daemon where a request would go, and prints the answer."""

import urllib.parse

from samphirepost import codec
from samphirepost import errors
from samphirepost import whereabouts
from samphirepost_cli import client as client_module
from samphirepost_cli import output

# Longest wait for an answer (s); a daemon answers within little more than 1 s.
READ_TIMEOUT_S = 5.0


def ask(cfg, command):
    """Returns the Outlook of a commands.Where, or a Failure.

    No token is sent.
    """
    base = f"http://{command.at}" if command.at else cfg.readiness
    question = whereabouts.Question(
        command.host, command.path, command.organisation, command.prompt
    )
    fields = {
        name: getattr(question, name)
        for name in question.__struct_fields__
        if getattr(question, name)
    }
    url = f"{base}/where?{urllib.parse.urlencode(fields)}"
    client = client_module.Client("", READ_TIMEOUT_S)
    reply = client.send("GET", url)
    if isinstance(reply, errors.Failure):
        return reply
    found = codec.from_json(reply.data, whereabouts.Outlook)
    if isinstance(found, errors.Failure):
        reason = f"{base} gives no such answer; is it an entry daemon's?"
        return errors.Failure(found.kind, reason)
    return found


def print_outlook(env, found):
    """Prints an Outlook, one fact a line."""
    output.print_rows(env, ("WHAT", "ANSWER"), list(_rows(found)))


def _rows(found):
    yield "daemon", found.vm
    yield (
        "tables",
        f"revision {found.revision}, read {found.tables_age_s} s ago",
    )
    yield "hub", _hub(found.hub)
    if found.route:
        yield (
            "route",
            f"{found.route} ({found.kind}, priority {found.priority})",
        )
    if found.organisation is not None:
        yield "organisation", _organisation(found.organisation)
    if found.refusal is not None:
        yield "refused", _refusal(found.refusal)
    for pool in found.pools:
        yield from _pool_rows(pool)


def _hub(hub):
    if hub.vm is None:
        return "none is known"
    if hub.is_me:
        return f"{hub.vm}, this daemon"
    answers = "answers" if hub.answers else "does not answer"
    return f"{hub.vm}, which {answers}; ask there for its decision"


def _organisation(found):
    if not found.is_known:
        return f"{found.name} is not in the tables"
    if not found.rate_per_s:
        return f"{found.name}, no quota"
    text = f"{found.name}, {found.rate_per_s:g}/s, burst {found.burst:g}"
    if found.is_constrained:
        text += ", nearly used up"
    return text


def _refusal(refusal):
    text = f"{refusal.status}: {refusal.reason}"
    if refusal.retry_after_s is not None:
        text += f" (Retry-After {refusal.retry_after_s:g} s or more)"
    return text


def _pool_rows(found):
    slot = found.slot
    by = "by the hub" if found.by_hub else "by this daemon's own picture"
    yield "pool", f"{found.pool} ({found.share:.0%}), {by}"
    yield "decision", f"{slot.decision.value}: {slot.why}"
    if slot.engine is not None:
        yield "engine", _engine(slot.engine)
    if slot.wait_s is not None:
        yield "wait", f"{slot.wait_s:.2f} s"
    counts = (
        ("free", slot.free),
        ("left to online arrivals", slot.reserved),
        ("requests wait", slot.waiting),
    )
    told = [f"{count} {name}" for name, count in counts if count is not None]
    if told:
        yield "slots", ", ".join(told)
    if found.refusal is not None:
        yield "refused", _refusal(found.refusal)


def _engine(found):
    marks = ", ".join(found.marks) or "sound"
    return (
        f"{found.id} in zone {found.zone}: {found.online} online and"
        f" {found.items} items in {found.slots} slots, {marks}"
    )
