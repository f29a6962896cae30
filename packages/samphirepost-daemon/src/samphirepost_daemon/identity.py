"""Who this daemon is among its peers."""

import uuid

from samphirepost import messages


def member(cfg):
    """Returns this start of the daemon as a member, not serving yet."""
    listen = cfg.listen
    return messages.Member(
        name=f"{cfg.id}.{uuid.uuid4().hex[:8]}",
        vm=cfg.id,
        zone=cfg.zone,
        peer=f"tcp://{listen.host}:{listen.peer_port}",
        revision=0,
        serving=False,
    )
