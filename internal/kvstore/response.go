// Responses: their statuses, and the errors that they stand for.

package kvstore

import (
	"fmt"

	"tulipshelf/internal/wire"
)

// Statuses with a meaning of their own. Any other leaves the outcome unknown.
const (
	statusOK                 = 200
	statusNoContent          = 204
	statusBadRequest         = 400 // malformed, larger than the limits, or a lease that has ended
	statusNotFound           = 404
	statusConflict           = 409 // a compare failed
	statusGone               = 410 // changes that the store no longer keeps
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// executed reports whether the store has carried a request out, also where the answer is an error.
func executed(status int) bool {
	return status != statusTooManyRequests && status != statusServiceUnavailable
}

// decodeResponse decodes the answer to a request into out, unless out is nil, and returns the
// error that the answer stands for.
func decodeResponse(req request, resp wire.Response, out any) error {
	switch resp.Status {
	case statusOK:
		return decodeBody(resp.Body, out)
	case statusNoContent:
		return nil
	case statusConflict:
		if err := decodeBody(resp.Body, out); err != nil {
			return err
		}
		return errConflict
	case statusNotFound:
		return ErrNotFound
	case statusGone:
		return ErrCompacted
	case statusTooManyRequests:
		return errThrottled
	case statusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case statusBadRequest:
		return badRequest(req, resp.Body)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
}

// decodeBody decodes a body into out, unless either is missing. A body that cannot be decoded
// leaves the outcome unknown.
func decodeBody(body []byte, out any) error {
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := wire.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}

// noSuchLease is the store's text for a transaction with a lease that has ended.
const noSuchLease = "no such lease"

// badRequest returns the error of an answer with status 400.
func badRequest(req request, body []byte) error {
	var problem wire.Problem
	if wire.Unmarshal(body, &problem) == nil && problem.Error == noSuchLease {
		return ErrNoSuchLease
	}
	return fmt.Errorf("%w: %s %s: status %d %q", ErrRejected, req.method, req.target, statusBadRequest, problem.Error)
}
