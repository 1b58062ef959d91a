"""Which configuration document is in force, and whether it may still be acted on.

A document comes in force only when its revision is higher than the last one, whether it was read
from the platform or pulled from a peer. A document in force must be confirmed again and again:
new work needs proof that it was the platform's newest at most ``view_confirm_s`` ago.

Proofs carry the time at which the question was *sent*, on this daemon's own clock, so that no
delay on the way and no pause of the process makes an old answer look fresh. Peers pass on the age
of their own proof; the echo of a heartbeat's sequence tells when the question to the peer was
sent. When nobody can read the platform, a majority of the listed daemons that agree on the
document takes the place of the proof.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..engine import on, on_message
from ..events import DocumentRead, PlatformConfirmed
from ..peer_messages import DocumentPull, DocumentPush, Heartbeat
from ..timers import ViewChanged

if TYPE_CHECKING:
    from ...config.acceptance import Rejected
    from ...config.view import View
    from ..events import PeerReceived
    from ..tables import PeerRow
    from ..world import World

HEARTBEATS_KEPT_COUNT = 64
"""How many heartbeats' times are remembered, to date their echoes."""


def view_trusted(world: World) -> bool:
    """Return whether new work may be sent by the configuration in force."""
    standing = world.standing
    if world.view is None or not _peers_asked(world):
        return False
    if standing.contact_at <= standing.woke_at:
        return False
    oldest = world.now - world.parameters.view_confirm_s
    if standing.revision_confirmed_at >= oldest:
        return True
    return _majority_agreed_at(world) >= oldest and not _newer_known(world)


def confirmed_age_s(world: World) -> float:
    """Return the time since the document in force was known to be the platform's newest."""
    return world.now - world.standing.revision_confirmed_at


def put_in_force(world: World, view: View, text: str) -> None:
    """Replace the configuration in force by *view*, which has a higher revision.

    A proof about the former document stays good, since the new one is newer still.
    """
    standing = world.standing
    world.view = view
    standing.document_text = text
    standing.newer_heard_at = 0.0
    for peer in world.peers.values():
        peer.agreed_at = 0.0
    world.count("configuration.accepted")
    world.note("configuration", "in force", f"revision {view.revision} digest {view.digest}")
    world.inbox.append(ViewChanged())


@on(DocumentRead)
def read_document(world: World, event: DocumentRead) -> None:
    """Consider a document of the platform."""
    if _consider(world, event.text):
        _confirm(world, event.asked_at, event.asked_at)


@on(PlatformConfirmed)
def platform_confirmed(world: World, event: PlatformConfirmed) -> None:
    """Take the platform's word for the revision in force, but never for another one."""
    if world.view is None:
        return
    if event.revision == world.view.revision:
        _confirm(world, event.asked_at, event.asked_at)
    else:
        stale = event.revision < world.view.revision
        world.count("configuration.stale" if stale else "configuration.unaccepted")


def record_heartbeat_time(world: World) -> None:
    """Remember when the heartbeat that is being sent left."""
    sent = world.standing.heartbeats_sent
    sent[world.standing.heartbeat_sequence] = world.now
    if len(sent) > HEARTBEATS_KEPT_COUNT:
        del sent[next(iter(sent))]


@on_message(Heartbeat)
def compare(world: World, event: PeerReceived) -> None:
    """Compare a peer's configuration with the one in force."""
    message: Heartbeat = event.message
    peer = world.peers.get(event.sender)
    if peer is None or not message.revision:
        return
    revision = world.view.revision if world.view else 0
    if message.revision > revision:
        _pull(world, peer, message.revision)
    elif message.revision == revision:
        _take_confirmation(world, peer, message)


@on_message(DocumentPull)
def push(world: World, event: PeerReceived) -> None:
    """Send the document in force to a peer that asks for it."""
    message: DocumentPull = event.message
    if world.view is None or world.view.revision < message.revision:
        return
    world.count("configuration.pushed")
    push_message = DocumentPush(world.view.revision, world.standing.document_text)
    world.tell(event.sender, push_message)


@on_message(DocumentPush)
def pushed(world: World, event: PeerReceived) -> None:
    """Consider a document that was pulled from a peer."""
    peer = world.peers.get(event.sender)
    if peer is None or not peer.pulled_at:
        world.count("configuration.unasked")
        return
    peer.pulled_at = 0.0
    _consider(world, event.message.text)


def _consider(world: World, text: str) -> bool:
    """Return whether *text* is in force afterwards."""
    if text == world.standing.document_text:
        return True
    verdict = world.accept(text)
    if not verdict:
        _reject(world, verdict)
        return False
    if world.view is None or verdict.revision > world.view.revision:
        put_in_force(world, verdict, text)
        return True
    if verdict.revision < world.view.revision:
        world.count("configuration.stale")
        return False
    if verdict.digest != world.view.digest:
        _note_conflict(world, verdict.digest)
        return False
    return True


def _reject(world: World, verdict: Rejected) -> None:
    world.count("configuration.rejected")
    first = verdict.problems[0] if verdict.problems else None
    detail = f"{first.path}: {first.message}" if first else ""
    world.note("configuration", "rejected", detail)


def _note_conflict(world: World, digest: str) -> None:
    world.count("configuration.conflict")
    world.note("configuration", "conflict", f"the same revision has digest {digest} elsewhere")


def _pull(world: World, peer: PeerRow, revision: int) -> None:
    world.standing.newer_heard_at = world.now
    recent = world.now - world.parameters.heartbeat_s
    if any(row.pulled_at > recent for row in world.peers.values()):
        return
    peer.pulled_at = world.now
    world.count("configuration.pulled")
    world.tell(peer.name, DocumentPull(revision))


def _take_confirmation(world: World, peer: PeerRow, message: Heartbeat) -> None:
    assert world.view is not None
    if message.digest != world.view.digest:
        _note_conflict(world, message.digest)
        return
    asked_at = world.standing.heartbeats_sent.get(message.reply_to)
    if asked_at is None:
        return
    peer.agreed_at = max(peer.agreed_at, asked_at)
    _confirm(world, asked_at - message.confirmed_age_s, asked_at)


def _confirm(world: World, true_at: float, asked_at: float) -> None:
    """Note that the document in force was the newest at *true_at*, by an answer to *asked_at*."""
    standing = world.standing
    if _newer_known(world):
        world.count("configuration.outdated_confirmation")
        return
    standing.revision_confirmed_at = max(standing.revision_confirmed_at, true_at)
    standing.contact_at = max(standing.contact_at, asked_at)


def _newer_known(world: World) -> bool:
    heard_at = world.standing.newer_heard_at
    return heard_at > 0 and heard_at >= world.now - world.parameters.peer_silence_s


def _majority_agreed_at(world: World) -> float:
    """Return since when a majority of the listed daemons has had the document in force."""
    agreed = sorted((peer.agreed_at for peer in world.peers.values() if peer.listed), reverse=True)
    others = (len(agreed) + 1) // 2
    return agreed[others - 1] if others else world.now


def _peers_asked(world: World) -> bool:
    """Return whether peers could tell of a newer document since the start, and it was taken."""
    standing = world.standing
    if standing.peers_asked or not standing.list_first_at:
        return standing.peers_asked
    waited = world.now >= standing.list_first_at + world.parameters.peer_silence_s
    listed = (peer for peer in world.peers.values() if peer.listed)
    heard = waited or all(peer.heard_at for peer in listed)
    standing.peers_asked = heard and not _newer_known(world)
    return standing.peers_asked
