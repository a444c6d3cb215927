package wire

// HTTP methods and status codes. Package net/http would bring its server and client into the program
// for them.

// Methods that any peer uses.
const (
	MethodGet    = "GET"
	MethodPost   = "POST"
	MethodDelete = "DELETE"
)

// Status codes that any peer sends or expects.
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

// reasonPhrase returns the text behind a status code in a status line. Nothing reads it but people.
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
