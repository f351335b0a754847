package admin

import (
	"strings"
	"testing"
)

// Callers may send anything. Each complete call must get exactly one status, and an incomplete one none.
func TestParseCalls(t *testing.T) {
	for text, want := range map[string]struct {
		call   Call
		status int
	}{
		"":                                    {None, 0},
		"GET /-/ready HTTP/1.1\r\n\r\n":       {Ready, OK},
		"GET /-/ready HTTP/1.0\n\n":           {Ready, OK},
		"GET /-/metrics?x=1 HTTP/1.1\r\n\r\n": {Metrics, OK},
		"GET http://h:1/-/metrics HTTP/1.1\r\nHost: h\r\n\r\n":                             {Metrics, OK},
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 9\r\n\r\n{":                              {Drain, OK},
		"PUT /-/resume HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n": {Resume, OK},
		"POST /-/drain HTTP/1.1\r\n\r\n":                                                   {None, WrongMethod},
		"GET /-/nothing HTTP/1.1\r\n\r\n":                                                  {None, UnknownPath},
		"GET  /-/ready HTTP/1.1\r\n":                                                       {None, Malformed},
		"OPEN 1 2 c=chat,d=5\r\n":                                                          {None, Malformed},
		"GET /-/ready HTTP/1.1\r\nno header\r\n":                                           {None, Malformed},
		"GET /-/ready HTTP/1.1\r\n folded: x\r\n":                                          {None, Malformed},
		strings.Repeat("x", MaxHeadBytes):                                                  {None, TooLong},
		"GET /-/ready HTTP/1.1\r\na: " + strings.Repeat("x", MaxHeadBytes):                 {None, TooLong},
		"GET /-/ready HTTP/1.1\r\na: " + strings.Repeat("x", MaxHeadBytes-40):              {None, 0},
		"GET /" + strings.Repeat("y", MaxHeadBytes) + " HTTP/1.1\r\n\r\n":                  {None, TooLong},
	} {
		call, status, allow := ParseCall([]byte(text))
		if call != want.call || status != want.status || (status == WrongMethod) != (allow != "") {
			t.Errorf("%.60q: %d %d %q, want %+v", text, call, status, allow, want)
		}
	}
}
