"""JSON error responses of the administration interfaces."""

from __future__ import annotations

import json

import bottle

from ..errors import Code


def error_response(http_status: int, code: Code, reason: str) -> bottle.HTTPResponse:
    """Return a response with a result code and its reason."""
    body = {"code": int(code), "name": code.name, "reason": reason}
    headers = {"Content-Type": "application/json"}
    return bottle.HTTPResponse(json.dumps(body), http_status, headers)


def unhandled_error_response(error: bottle.HTTPError) -> bottle.HTTPResponse:
    """Return the response to an error that bottle raised."""
    code = Code.NOT_FOUND if error.status_code in (404, 405) else Code.INTERNAL
    return error_response(error.status_code, code, f"{error.body}.")
