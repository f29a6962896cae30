"""Routes a peer's command to the actor that answers it."""

import functools

from samphirepost import hashing
from samphirepost import messages
from samphirepost_daemon import members
from samphirepost_daemon import runnermessages


class Inbox:
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
def _handle(command, inbox):
    """Passes a command on a work id to the ledger of its partition."""
    partition = hashing.partition_of(command.work)
    return inbox.owners.handle(partition, command)


@_handle.register
def _(command: messages.Submit, inbox):
    partition = hashing.partition_of(command.accepted.work)
    return inbox.owners.handle(partition, command)


@_handle.register(messages.Pull)
@_handle.register(messages.Renew)
def _(command, inbox):
    return inbox.owners.handle(command.partition, command)


@_handle.register(messages.Heartbeat)
@_handle.register(messages.Digest)
def _(command, inbox):
    return inbox.members_ref.ask(members.Hear(command))


@_handle.register
def _(command: messages.Keep, inbox):
    inbox.command_buffer.add(command.finish)
    return messages.Done()


@_handle.register
def _(command: messages.TablesPull, inbox):
    if not inbox.readiness.is_confirmed or not inbox.current.revision:
        return messages.TablesReply(None)
    return inbox.current.reply_since(command.revision)


@_handle.register
def _(command: messages.Burst, inbox):
    inbox.runner_ref.tell(runnermessages.Hint(command))
    return messages.Done()
