"""Routes a peer's command to the actor that answers it."""

import functools

from samphirepost import hashing
from samphirepost import messages
from samphirepost_daemon import members
from samphirepost_daemon import runnermessages


class CommandHandler:
    """Handles commands of peers, for `peers.Server`."""

    def __init__(
        self,
        owners,
        members_ref,
        runner_ref,
        current,
        readiness,
        command_buffer,
    ):
        self.owners = owners
        self.members_ref = members_ref
        self.runner_ref = runner_ref
        self.current = current
        self.readiness = readiness
        self.command_buffer = command_buffer

    def handle(self, command):
        """Returns the reply to a command, or a future of the reply."""
        return _handle(command, self)


@functools.singledispatch
def _handle(command, handler):
    """Passes a command on a work id to the ledger of its partition."""
    partition = hashing.partition_of(command.work)
    return handler.owners.submit_local(partition, command)


@_handle.register
def _(command: messages.SubmitJob, handler):
    partition = hashing.partition_of(command.accepted.work)
    return handler.owners.submit_local(partition, command)


@_handle.register(messages.PullItems)
@_handle.register(messages.RenewClaims)
def _(command, handler):
    return handler.owners.submit_local(command.partition, command)


@_handle.register(messages.Heartbeat)
@_handle.register(messages.ZoneDigest)
def _(command, handler):
    return handler.members_ref.ask(members.PeerReport(command))


@_handle.register
def _(command: messages.RetainResult, handler):
    handler.command_buffer.add(command.finish)
    return messages.Acknowledgement()


@_handle.register
def _(command: messages.TablesRequest, handler):
    if not handler.readiness.is_confirmed or not handler.current.revision:
        return messages.TablesReply(None)
    return handler.current.reply_since(command.revision)


@_handle.register
def _(command: messages.OnlineCounts, handler):
    handler.runner_ref.tell(runnermessages.Hint(command))
    return messages.Acknowledgement()
