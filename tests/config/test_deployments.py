from __future__ import annotations

from collections import Counter, defaultdict

import pytest

from marigoldwalk.config.acceptance import accept
from marigoldwalk.config.view import View
from standins.deployments import COMMITTED_DEPLOYMENTS, DOCUMENTS_FOLDER, write_documents


@pytest.fixture(params=COMMITTED_DEPLOYMENTS)
def view(request) -> View:
    accepted = accept((DOCUMENTS_FOLDER / f"{request.param}.yaml").read_text(encoding="utf-8"))
    assert isinstance(accepted, View)
    return accepted


def test_committed_documents_equal_the_output_of_the_generator(tmp_path):
    write_documents(tmp_path)
    for name in COMMITTED_DEPLOYMENTS:
        committed = (DOCUMENTS_FOLDER / f"{name}.yaml").read_text(encoding="utf-8")
        assert (tmp_path / f"{name}.yaml").read_text(encoding="utf-8") == committed


def test_replicas_of_a_service_are_spread_over_domains(view):
    domains = defaultdict(list)
    for server in view.servers:
        domains[server.service].append(server.domain)
    for domains_of_service in domains.values():
        assert len(set(domains_of_service)) == min(len(domains_of_service), 3)
    shares = Counter(server.domain for server in view.servers)
    assert max(shares.values()) - min(shares.values()) <= 4
