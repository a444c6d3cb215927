package wire

// HTTP methods and status codes. Those of package net/http are not used, since it would link its server
// and client into the program.

// Methods used by any peer.
const (
	MethodGet    = "GET"
	MethodPost   = "POST"
	MethodDelete = "DELETE"
)

// Status codes sent or expected by any peer.
const (
	StatusOK                 = 200
	StatusCreated            = 201
	StatusNoContent          = 204
	StatusNotModified        = 304
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusMethodNotAllowed   = 405
	StatusConflict           = 409
	StatusGone               = 410
	StatusMisdirectedRequest = 421
	StatusUnprocessable      = 422
	StatusTooManyRequests    = 429
	StatusServiceUnavailable = 503
)

// reasonPhrase returns the text after the status code in a status line. Only people read it.
func reasonPhrase(status int) string {
	switch status {
	case StatusOK:
		return "OK"
	case StatusCreated:
		return "Created"
	case StatusBadRequest:
		return "Bad Request"
	case StatusNotFound:
		return "Not Found"
	case StatusMethodNotAllowed:
		return "Method Not Allowed"
	case StatusConflict:
		return "Conflict"
	case StatusMisdirectedRequest:
		return "Misdirected Request"
	case StatusUnprocessable:
		return "Unprocessable Content"
	case StatusTooManyRequests:
		return "Too Many Requests"
	case StatusServiceUnavailable:
		return "Service Unavailable"
	}
	return "Status"
}
