// Package admin parses the HTTP/1.1 calls that operators make to a node, one call per connection, and formats the
// responses. It does no I/O and keeps no state: the caller passes in all bytes that a connection has sent so far.
package admin

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Call is what an operator asks for.
type Call uint8

// The calls. None stands for a call that is incomplete or refused.
const (
	None    Call = iota
	Ready        // asks whether this process is ready to serve
	Metrics      // asks for the metrics
	Drain        // drains the node
	Resume       // ends a drain
)

// MaxHeadBytes is the size limit of the head of a call: the request line and the headers.
const MaxHeadBytes = 8 << 10

// HTTP statuses of the responses.
const (
	OK            = 200
	Malformed     = 400
	UnknownPath   = 404
	WrongMethod   = 405
	TooLong       = 431
	InternalError = 500
	NotReady      = 503
)

var statusTexts = map[int]string{
	OK:            "OK",
	Malformed:     "Bad Request",
	UnknownPath:   "Not Found",
	WrongMethod:   "Method Not Allowed",
	TooLong:       "Request Header Fields Too Large",
	InternalError: "Internal Server Error",
	NotReady:      "Service Unavailable",
}

// routes has the call and the method of each path.
var routes = map[string]struct {
	call   Call
	method string
}{
	"/-/ready":   {Ready, "GET"},
	"/-/metrics": {Metrics, "GET"},
	"/-/drain":   {Drain, "PUT"},
	"/-/resume":  {Resume, "PUT"},
}

// ParseCall parses a call from the bytes received so far. The status is 0 while the call is incomplete, and OK when it is
// complete. With any other status the call is refused, and with WrongMethod, allow is the method that the path allows.
// It does not wait for a body.
func ParseCall(p []byte) (call Call, status int, allow string) {
	line, rest, complete := cutLine(p)
	if !complete {
		return None, incompleteStatus(p), ""
	}
	method, target, ok := requestLine(line)
	if !ok {
		return None, Malformed, ""
	}
	for {
		line, rest, complete = cutLine(rest)
		if !complete {
			return None, incompleteStatus(p), ""
		}
		if len(line) == 0 {
			break
		}
		if name, _, colon := bytes.Cut(line, []byte(":")); !colon || !isToken(string(name)) {
			return None, Malformed, ""
		}
	}
	if len(p)-len(rest) > MaxHeadBytes {
		return None, TooLong, ""
	}
	route, ok := routes[requestPath(target)]
	switch {
	case !ok:
		return None, UnknownPath, ""
	case route.method != method:
		return None, WrongMethod, route.method
	}
	return route.call, OK, ""
}

// incompleteStatus returns the status of a call whose head is incomplete.
func incompleteStatus(p []byte) int {
	if len(p) >= MaxHeadBytes {
		return TooLong
	}
	return 0
}

// cutLine cuts off the first line, which may end with "\n" or "\r\n".
func cutLine(p []byte) (line, rest []byte, complete bool) {
	line, rest, complete = bytes.Cut(p, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest, complete
}

// requestLine parses the request line of an HTTP/1.0 or HTTP/1.1 call.
func requestLine(line []byte) (method, target string, ok bool) {
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return "", "", false
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c > '~' {
			return "", "", false
		}
	}
	return parts[0], parts[1], true
}

// isToken reports whether a text can be the name of a method or header.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return text != ""
}

// requestPath returns a request target without its query, and without the scheme and host that a proxy may have left in it.
func requestPath(target string) string {
	if scheme, rest, ok := strings.Cut(target, "://"); ok && isToken(scheme) {
		target = "/"
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			target = rest[i:]
		}
	}
	target, _, _ = strings.Cut(target, "?")
	return target
}

// FormatResponse formats a response. It tells the client that the connection will close. allow may be empty.
func FormatResponse(status int, allow, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, statusTexts[status])
	if allow != "" {
		b.WriteString("Allow: " + allow + "\r\n")
	}
	b.WriteString("Content-Type: text/plain\r\nCache-Control: no-store\r\nConnection: close\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return b.Bytes()
}

// StatusText returns the standard text of a status.
func StatusText(status int) string { return statusTexts[status] }
