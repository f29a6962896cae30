"""The newest view of the members, readable from any thread.

Only the members actor writes it.
"""

from samphirepost import membership

EMPTY_VIEW = membership.make_view((), {}, {}, {}, (), 0)


class Directory:
    """The view of the members and the confirmation of the tables.

    `confirmation` says when the tables here were last known to be the
    newest.
    """

    __slots__ = ("_by_name", "confirmation", "view")

    def __init__(self, confirm_s):
        self.view = EMPTY_VIEW
        self.confirmation = membership.Confirmation(confirm_s)
        self._by_name = {}

    def set_view(self, view):
        """Replaces the view."""
        self._by_name = {member.name: member for member in view.members}
        self.view = view

    def is_live(self, name):
        """Whether a daemon of that name is a member."""
        return name in self._by_name

    def find_member(self, name):
        """Returns the member of that name, or None."""
        return self._by_name.get(name)

    def find_owner(self, partition):
        """Returns the member that owns the partition, or None."""
        owner = self.view.owners.get(partition)
        return None if owner is None else self.find_member(owner.name)

    def serving_names(self):
        """Returns the names of the members that accept requests."""
        return [m.name for m in self.view.members if m.serving]
