"""Charges one request to the quota of its organisation."""

import time

from samphirepost import refusals


class QuotaCharge:
    """The charge of one request; nothing without an organisation.

    `is_made` once the request was charged, whatever its attempts, and
    `is_local` if this daemon charged it: the hub then learns of it by its run.
    """

    __slots__ = (
        "_metrics",
        "_organisation",
        "_quotas",
        "_slots",
        "_state",
        "is_local",
        "is_made",
    )

    def __init__(self, parts, organisation):
        self._quotas = parts.quotas
        self._slots = parts.slots
        self._state = parts.state
        self._metrics = parts.metrics
        self._organisation = organisation
        self.is_local = False
        self.is_made = False

    def apply_grant(self):
        """Applies a grant of the hub, which has charged the request.

        Returns None, or an ErrorResponse if the hub keeps no quotas and this
        daemon's own part of the quota is used up.
        """
        if not self._slots.hub_keeps_quotas:
            return self.make_locally()
        if self._organisation and not self.is_made:
            self.is_made = True
            self._quotas.record_sent(self._organisation, time.monotonic())
        return None

    def make_locally(self):
        """Charges the request without the hub.

        Returns None, or an ErrorResponse if the quota does not allow it now.
        """
        if not self._organisation or self.is_made:
            return None
        organisation = self._state.table.directory.get(self._organisation)
        if organisation is None:
            return None
        wait_s = self._quotas.charge(
            organisation, self._slots.daemon_count, time.monotonic()
        )
        if wait_s:
            return self.refusal(wait_s)
        self.is_local = True
        self.is_made = True
        return None

    @property
    def reported_name(self):
        """The organisation that a report of the run has, to be charged."""
        return self._organisation if self.is_local else ""

    def refusal(self, wait_s):
        """Returns the ErrorResponse of a request over its quota."""
        self._metrics.quota_refusals.inc()
        return refusals.over_quota(
            self._organisation, wait_s, self._slots.hub_vm
        )

    def settle(self, run_count, was_sent):
        """Gives the charge back if no engine may have run the request.

        With `was_sent`, a run of it was reported.
        """
        if not self.is_made or run_count:
            return
        self.is_made = False
        if self.is_local:
            self._quotas.refund(self._organisation)
        if was_sent or not self.is_local:
            self._slots.refund(self._organisation)
