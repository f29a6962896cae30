"""Which member owns a partition, admits for an engine or coordinates."""

from samphirepost import hashing


def partition_owner(partition, members):
    """Returns the member that ought to own the partition."""
    return hashing.rendezvous(f"partition/{partition}", members)


def admitter(target, members):
    """Returns the member that admits batch work to the target."""
    return hashing.rendezvous(f"admit/{target}", members)


def coordinator(zone, members):
    """Returns the member that ought to coordinate the zone."""
    return hashing.rendezvous(f"zone/{zone}", members)


def subset(daemon, zone, targets, size):
    """Returns the ids of up to `size` targets, those of `zone` first.

    Each daemon gets its own stable choice, so that the daemons spread over
    a large pool and the loss of a target moves few of them.
    """
    near = sorted(t.id for t in targets if t.zone == zone)
    far = sorted(t.id for t in targets if t.zone != zone)
    choice = hashing.ranked(daemon, near) + hashing.ranked(daemon, far)
    return tuple(choice[:size])


def keepers(work, zone, members, count):
    """Returns up to `count` members, each in another zone than `zone`."""
    by_name = {m.name: m for m in members if m.serving and m.zone != zone}
    chosen = {}
    for name in hashing.ranked(work, list(by_name)):
        chosen.setdefault(by_name[name].zone, by_name[name])
    return tuple(chosen.values())[:count]
