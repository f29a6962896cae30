"""Problem documents of the WSGI applications."""

import json

from samphirepost_daemon import web


def test_uncaught_exception_is_a_problem_of_unknown_outcome():
    """Guards against a bare 500 when a handler raises an exception."""
    started = []

    def answer(req, start_response):
        raise ValueError("a fault")

    req = web.Request({"REQUEST_METHOD": "GET", "PATH_INFO": "/v1/x"})
    (body,) = web.run_handler(
        answer, req, lambda *parts: started.append(parts)
    )
    problem = json.loads(body)
    assert started[0][0].startswith("500 ")
    assert problem["type"] == "urn:samphirepost:internal"
    assert problem["outcome"] == "unknown"
    assert "a fault" not in problem["detail"]
