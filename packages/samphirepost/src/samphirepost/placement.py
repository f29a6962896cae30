"""Placement by rendezvous hashing: owners, admitters and coordinators."""

from samphirepost import hashing


def partition_owner(partition, members):
    """Returns the member that should own the partition."""
    return hashing.rendezvous(f"partition/{partition}", members)


def admitter(target, members):
    """Returns the member that admits batch work to the target."""
    return hashing.rendezvous(f"admit/{target}", members)


def coordinator(zone, members):
    """Returns the member that should coordinate the zone."""
    return hashing.rendezvous(f"zone/{zone}", members)


def target_subset(daemon, zone, targets, size):
    """Returns the ids of up to `size` targets, those of `zone` first.

    Each daemon has its own stable subset, so that all daemons together cover
    a large pool and a failed target changes few subsets.
    """
    same_zone = sorted(t.id for t in targets if t.zone == zone)
    other_zones = sorted(t.id for t in targets if t.zone != zone)
    ranked = hashing.ranked(daemon, same_zone) + hashing.ranked(
        daemon, other_zones
    )
    return tuple(ranked[:size])


def result_replicas(work, zone, members, count):
    """Returns up to `count` serving members to retain a result.

    Each is in a zone of its own, other than `zone`.
    """
    by_name = {m.name: m for m in members if m.serving and m.zone != zone}
    chosen = {}
    for name in hashing.ranked(work, list(by_name)):
        chosen.setdefault(by_name[name].zone, by_name[name])
    return tuple(chosen.values())[:count]
