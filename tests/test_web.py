"""Requests and responses of the listeners."""

import json

from samphirepost_daemon import web


def test_fault_of_the_program_is_a_typed_problem_of_unknown_outcome():
    """It was answered with a bare 500."""
    said = []

    def answer(req, start_response):
        raise ValueError("a fault")

    req = web.Request({"REQUEST_METHOD": "GET", "PATH_INFO": "/v1/x"})
    (body,) = web.guard(answer, req, lambda *parts: said.append(parts))
    problem = json.loads(body)
    assert said[0][0].startswith("500 ")
    assert problem["type"] == "urn:samphirepost:internal"
    assert problem["outcome"] == "unknown"
    assert "a fault" not in problem["detail"]
