"""This daemon's entry in the list of members."""

import uuid

from samphirepost import messages


def make_member(cfg):
    """Returns the daemon as a member that is not serving yet.

    The name has a random part, so that a restarted daemon is a new member.
    """
    listen = cfg.listen
    return messages.Member(
        name=f"{cfg.id}.{uuid.uuid4().hex[:8]}",
        vm=cfg.id,
        zone=cfg.zone,
        peer=f"tcp://{listen.host}:{listen.peer_port}",
        revision=0,
        serving=False,
    )
