// Responses: the errors that their statuses stand for, and their bodies.

package kvstore

import (
	"fmt"

	"tulipshelf/internal/wire"
)

// executed reports whether a response with the status means that the store executed the request. A
// request that was executed and failed counts.
func executed(status int) bool {
	return status != wire.StatusTooManyRequests && status != wire.StatusServiceUnavailable
}

// decodeResponse decodes the body of a response into out, unless out is nil, and returns the error
// that the response's status stands for. The body of a conflict (status 409) is decoded as well.
func decodeResponse(req request, resp wire.Response, out any) error {
	switch resp.Status {
	case wire.StatusOK:
		return decodeBody(resp.Body, out)
	case wire.StatusNoContent:
		return nil
	case wire.StatusConflict:
		if err := decodeBody(resp.Body, out); err != nil {
			return err
		}
		return errConflict
	case wire.StatusNotFound:
		return ErrNotFound
	case wire.StatusGone:
		return ErrCompacted
	case wire.StatusTooManyRequests:
		return errThrottled
	case wire.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s %s: status %d", ErrRefused, req.method, req.target, resp.Status)
	case wire.StatusBadRequest:
		return badRequest(req, resp.Body)
	}
	return fmt.Errorf("%w: %s %s: unexpected status %d", ErrUnknown, req.method, req.target, resp.Status)
}

// decodeBody decodes a body into out, unless out is nil or the body is empty. The error wraps
// ErrUnknown.
func decodeBody(body []byte, out any) error {
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}

// noSuchLease is the store's error text for a transaction with a lease that has ended.
const noSuchLease = "no such lease"

// badRequest returns the error for a response with status 400.
func badRequest(req request, body []byte) error {
	var problem wire.Problem
	if wire.Unmarshal(body, &problem) == nil && problem.Error == noSuchLease {
		return ErrNoSuchLease
	}
	return fmt.Errorf("%w: %s %s: status %d %q", ErrRejected, req.method, req.target, wire.StatusBadRequest, problem.Error)
}
