from __future__ import annotations

from marigoldwalk.config.view import Address
from marigoldwalk.core.actions import SendPeer
from marigoldwalk.core.composition import Core
from marigoldwalk.core.events import Instance, InstancesRead, PeerReceived
from marigoldwalk.core.parameters import Parameters
from marigoldwalk.core.peer_messages import (
    ClaimAnswer,
    ClaimFinished,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
)
from marigoldwalk.core.world import Identity

from ..views import FakeDocuments

START = 1000.0
NAMES = ["m-1", "m-2", "m-3"]


class Witness:
    """A core that receives claim messages directly from the test."""

    def __init__(self, **parameters: float) -> None:
        address = Address("127.0.0.1", 7001)
        identity = Identity("m-1", "dom-a", address, START)
        self.core = Core(identity, Parameters(**parameters), FakeDocuments().accept)
        self.now = START + 60.0
        self.instances = tuple(Instance(name, address, "dom-a", leaving=False) for name in NAMES)
        self.core.step(START, [])
        self.core.step(self.now, [InstancesRead(1, self.instances, self.now)])

    def send_claim(self, sender: str, claim: int, request_id: str = "r") -> ClaimAnswer | None:
        message = ClaimRequest(request_id, claim, START, self.now)
        actions = self.core.step(self.now, [PeerReceived(sender, message)])
        replies = [a.message for a in actions if isinstance(a, SendPeer)]
        answers = [m.answer for m in replies if isinstance(m, ClaimReply)]
        return answers[0] if answers else None

    def receive(self, sender: str, message: object) -> None:
        self.core.step(self.now, [PeerReceived(sender, message)])


def test_an_id_is_promised_to_one_daemon_only():
    witness = Witness()
    assert witness.send_claim("m-2", 1) is ClaimAnswer.PROMISED
    assert witness.send_claim("m-3", 1) is ClaimAnswer.HELD_BY_OTHER


def test_a_released_id_is_promised_to_another_daemon():
    witness = Witness()
    witness.send_claim("m-2", 1)
    witness.receive("m-2", ClaimRelease("r", 1))
    assert witness.send_claim("m-3", 1) is ClaimAnswer.PROMISED


def test_a_late_release_does_not_release_a_later_claim():
    witness = Witness()
    witness.send_claim("m-2", 1)
    assert witness.send_claim("m-2", 2) is ClaimAnswer.PROMISED
    witness.receive("m-2", ClaimRelease("r", 1))
    assert witness.send_claim("m-3", 1) is ClaimAnswer.HELD_BY_OTHER


def test_a_release_by_another_daemon_is_ignored():
    witness = Witness()
    witness.send_claim("m-2", 1)
    witness.receive("m-3", ClaimRelease("r", 1))
    assert witness.send_claim("m-3", 1) is ClaimAnswer.HELD_BY_OTHER


def test_a_late_copy_of_a_released_request_is_not_promised_again():
    witness = Witness()
    witness.send_claim("m-2", 1)
    witness.receive("m-2", ClaimRelease("r", 1))
    assert witness.send_claim("m-2", 1) is None


def test_a_finished_request_is_not_promised_again():
    witness = Witness()
    witness.send_claim("m-2", 1)
    witness.receive("m-2", ClaimFinished("r", 1))
    witness.receive("m-2", ClaimRelease("r", 1))
    assert witness.send_claim("m-3", 1) is ClaimAnswer.FINISHED


def test_a_full_table_evicts_no_promise():
    witness = Witness(memory_count=1)
    assert witness.send_claim("m-2", 1) is ClaimAnswer.PROMISED
    assert witness.send_claim("m-3", 2, "another") is ClaimAnswer.ABSTAINED
    assert witness.send_claim("m-3", 3) is ClaimAnswer.HELD_BY_OTHER


def test_a_daemon_that_cannot_read_the_list_abstains():
    witness = Witness()
    witness.now += 2 * witness.core.world.parameters.list_age_s
    assert witness.send_claim("m-2", 1) is ClaimAnswer.ABSTAINED
