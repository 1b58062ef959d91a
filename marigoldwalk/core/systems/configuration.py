"""Activation and confirmation of the configuration document.

A document becomes active only if its revision is higher than that of the active one, whether it
was read from the platform or pulled from a peer. New work requires proof that the active document
was the platform's newest at most ``view_confirm_s`` ago.

A proof is dated by the time at which the request was *sent*, on this daemon's own clock, so that
neither a network delay nor a pause of the process makes an old answer look recent. Peers report
the age of their own proof in heartbeats; the sequence number that a heartbeat echoes tells when
this daemon sent the request. While no daemon can read the platform, agreement of a majority of
the listed daemons on the document replaces the proof.
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
"""Number of sent heartbeats whose send times are kept, to date their echoes."""


def view_trusted(world: World) -> bool:
    """Return whether new work may be sent under the active configuration."""
    daemon_state = world.daemon_state
    if world.view is None or not _peers_heard(world):
        return False
    if daemon_state.last_answered_request_at <= daemon_state.resumed_at:
        return False
    oldest = world.now - world.parameters.view_confirm_s
    if daemon_state.revision_confirmed_at >= oldest:
        return True
    return _majority_agreed_at(world) >= oldest and not _newer_revision_reported(world)


def confirmed_age_s(world: World) -> float:
    """Return the seconds since the active document was last known to be the platform's newest."""
    return world.now - world.daemon_state.revision_confirmed_at


def activate(world: World, view: View, text: str) -> None:
    """Activate *view*, which has a higher revision than the active configuration.

    The confirmation of the former document stays valid, since the new document is newer.
    """
    daemon_state = world.daemon_state
    world.view = view
    daemon_state.document_text = text
    daemon_state.newer_revision_heard_at = 0.0
    for peer in world.peers.values():
        peer.agreed_at = 0.0
    world.count("configuration.accepted")
    world.note("configuration", "in force", f"revision {view.revision} digest {view.digest}")
    world.inbox.append(ViewChanged())


@on(DocumentRead)
def handle_document(world: World, event: DocumentRead) -> None:
    """Activate a document read from the platform if it is newer, and record its confirmation."""
    if _activate_if_newer(world, event.text):
        _record_confirmation(world, event.requested_at, event.requested_at)


@on(PlatformConfirmed)
def platform_confirmed(world: World, event: PlatformConfirmed) -> None:
    """Record the platform's confirmation if it is for the active revision."""
    if world.view is None:
        return
    if event.revision == world.view.revision:
        _record_confirmation(world, event.requested_at, event.requested_at)
    else:
        stale = event.revision < world.view.revision
        world.count("configuration.stale" if stale else "configuration.unaccepted")


def record_heartbeat_time(world: World) -> None:
    """Record the send time of the current heartbeat."""
    sent = world.daemon_state.heartbeats_sent
    sent[world.daemon_state.heartbeat_sequence] = world.now
    if len(sent) > HEARTBEATS_KEPT_COUNT:
        del sent[next(iter(sent))]


@on_message(Heartbeat)
def compare_configurations(world: World, event: PeerReceived) -> None:
    """Compare a peer's configuration with the active one."""
    message: Heartbeat = event.message
    peer = world.peers.get(event.sender)
    if peer is None or not message.revision:
        return
    revision = world.view.revision if world.view else 0
    if message.revision > revision:
        _pull(world, peer, message.revision)
    elif message.revision == revision:
        _record_agreement(world, peer, message)


@on_message(DocumentPull)
def send_document(world: World, event: PeerReceived) -> None:
    """Send the active document to a peer that asked for it."""
    message: DocumentPull = event.message
    if world.view is None or world.view.revision < message.revision:
        return
    world.count("configuration.pushed")
    document = DocumentPush(world.view.revision, world.daemon_state.document_text)
    world.send_message(event.sender, document)


@on_message(DocumentPush)
def receive_document(world: World, event: PeerReceived) -> None:
    """Activate a document pulled from a peer if it is newer."""
    peer = world.peers.get(event.sender)
    if peer is None or not peer.pulled_at:
        world.count("configuration.unasked")
        return
    peer.pulled_at = 0.0
    _activate_if_newer(world, event.message.text)


def _activate_if_newer(world: World, text: str) -> bool:
    """Activate *text* if it is valid and newer; return whether it is active afterwards."""
    if text == world.daemon_state.document_text:
        return True
    verdict = world.accept(text)
    if not verdict:
        _reject(world, verdict)
        return False
    if world.view is None or verdict.revision > world.view.revision:
        activate(world, verdict, text)
        return True
    if verdict.revision < world.view.revision:
        world.count("configuration.stale")
        return False
    if verdict.digest != world.view.digest:
        _report_conflict(world, verdict.digest)
        return False
    return True


def _reject(world: World, verdict: Rejected) -> None:
    world.count("configuration.rejected")
    first_problem = verdict.problems[0] if verdict.problems else None
    detail = f"{first_problem.path}: {first_problem.message}" if first_problem else ""
    world.note("configuration", "rejected", detail)


def _report_conflict(world: World, digest: str) -> None:
    world.count("configuration.conflict")
    world.note("configuration", "conflict", f"the same revision has digest {digest} elsewhere")


def _pull(world: World, peer: PeerRow, revision: int) -> None:
    world.daemon_state.newer_revision_heard_at = world.now
    recent = world.now - world.parameters.heartbeat_s
    if any(row.pulled_at > recent for row in world.peers.values()):
        return
    peer.pulled_at = world.now
    world.count("configuration.pulled")
    world.send_message(peer.name, DocumentPull(revision))


def _record_agreement(world: World, peer: PeerRow, message: Heartbeat) -> None:
    assert world.view is not None
    if message.digest != world.view.digest:
        _report_conflict(world, message.digest)
        return
    requested_at = world.daemon_state.heartbeats_sent.get(message.reply_to)
    if requested_at is None:
        return
    peer.agreed_at = max(peer.agreed_at, requested_at)
    _record_confirmation(world, requested_at - message.confirmed_age_s, requested_at)


def _record_confirmation(world: World, newest_at: float, requested_at: float) -> None:
    """Record that the active document was the platform's newest at *newest_at*.

    *requested_at* is when this daemon sent the request that was answered.
    """
    daemon_state = world.daemon_state
    if _newer_revision_reported(world):
        world.count("configuration.outdated_confirmation")
        return
    daemon_state.revision_confirmed_at = max(daemon_state.revision_confirmed_at, newest_at)
    daemon_state.last_answered_request_at = max(daemon_state.last_answered_request_at, requested_at)


def _newer_revision_reported(world: World) -> bool:
    heard_at = world.daemon_state.newer_revision_heard_at
    return heard_at > 0 and heard_at >= world.now - world.parameters.peer_silence_s


def _majority_agreed_at(world: World) -> float:
    """Return a time since which a majority of the listed daemons has had the active document."""
    agreed = sorted((peer.agreed_at for peer in world.peers.values() if peer.listed), reverse=True)
    peers_needed = (len(agreed) + 1) // 2
    return agreed[peers_needed - 1] if peers_needed else world.now


def _peers_heard(world: World) -> bool:
    """Return whether peers have had time to report a newer document since the start.

    A newer document that a peer has just reported delays this. Once true, the result stays true.
    """
    daemon_state = world.daemon_state
    if daemon_state.peers_heard or not daemon_state.list_first_read_at:
        return daemon_state.peers_heard
    waited = world.now >= daemon_state.list_first_read_at + world.parameters.peer_silence_s
    listed = (peer for peer in world.peers.values() if peer.listed)
    heard = waited or all(peer.heard_at for peer in listed)
    daemon_state.peers_heard = heard and not _newer_revision_reported(world)
    return daemon_state.peers_heard
