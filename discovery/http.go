package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHeaderBytes = 16 << 10 // of a status, header or chunk size line
	maxListBytes   = 8 << 20
)

// Request returns the HTTP request for a watch. The watch continues after revision after, or starts with the whole list if
// after is negative.
func Request(host string, after int64) []byte {
	query := ""
	if after >= 0 {
		query = fmt.Sprintf("&after=%d", after)
	}
	return fmt.Appendf(nil, "GET /discovery/hosts?watch=1%s HTTP/1.1\r\nHost: %s\r\n"+
		"Accept: application/json\r\n\r\n", query, host)
}

// ErrDone is returned by Reader.Feed at the end of the response.
var ErrDone = errors.New("discovery: end of response")

// readState says which part of the response the next byte belongs to.
type readState uint8

const (
	inHeader    readState = iota // the status line and headers
	atChunkSize                  // the line with the size of the next chunk
	inChunk                      // the data of a chunk
	atChunkEnd                   // the empty line after the data of a chunk
	inPlainBody                  // a body that is not chunked
)

// Reader parses the bytes of one HTTP response, in pieces of any size.
type Reader struct {
	state         readState
	statusRead    bool
	chunked       bool
	remaining     int    // bytes left of the chunk, or of a body that is not chunked
	lineBuffer    []byte // incomplete line outside the body
	listBuffer    []byte // incomplete list
	depth         int    // open brackets in listBuffer; a list may span several lines
	inString      bool   // listBuffer ends inside a JSON string
	escaped       bool   // listBuffer ends with the backslash of an escape sequence
	CompleteLines int    // number of line ends in the body at which no list was incomplete
}

// Feed parses the next bytes and calls onList for every list that they complete. It returns ErrDone at the end of the
// response. The Reader cannot be used after an error.
func (r *Reader) Feed(p []byte, onList func(List)) error {
	for len(p) > 0 {
		if r.state == inChunk || r.state == inPlainBody {
			n := min(len(p), r.remaining)
			if err := r.readBody(p[:n], onList); err != nil {
				return err
			}
			r.remaining -= n
			p = p[n:]
			if r.remaining == 0 && r.state == inPlainBody {
				return ErrDone
			} else if r.remaining == 0 {
				r.state = atChunkEnd
			}
			continue
		}
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		r.lineBuffer = append(r.lineBuffer, p[:end]...)
		p = p[end:]
		if len(r.lineBuffer) > maxHeaderBytes {
			return errors.New("discovery: header too long")
		}
		if r.lineBuffer[len(r.lineBuffer)-1] != '\n' {
			return nil
		}
		line := strings.TrimRight(string(r.lineBuffer), "\r\n")
		r.lineBuffer = r.lineBuffer[:0]
		if err := r.parseLine(line); err != nil {
			return err
		}
	}
	return nil
}

// parseLine parses a line outside the body: the status line, a header, or a line between chunks.
func (r *Reader) parseLine(line string) error {
	switch {
	case r.state == atChunkSize:
		sizeText, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(sizeText), 16, 31)
		if err != nil {
			return fmt.Errorf("discovery: invalid chunk size: %.40q", line)
		} else if n == 0 {
			return ErrDone
		}
		r.remaining, r.state = int(n), inChunk
	case r.state == atChunkEnd:
		if line != "" {
			return fmt.Errorf("discovery: chunk is longer than its size: %.40q", line)
		}
		r.state = atChunkSize
	case !r.statusRead:
		words := strings.Fields(line)
		if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") || words[1] != "200" {
			return fmt.Errorf("discovery: unexpected status line: %.60q", line)
		}
		r.statusRead = true
		r.remaining = maxListBytes // unless there is a Content-Length
	case line == "" && r.chunked:
		r.state = atChunkSize
	case line == "":
		r.state = inPlainBody
	default:
		return r.parseHeader(line)
	}
	return nil
}

// parseHeader parses a header line. Only the headers that give the form of the body count.
func (r *Reader) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch {
	case !ok:
		return fmt.Errorf("discovery: invalid header: %.40q", line)
	case strings.EqualFold(name, "Transfer-Encoding"):
		r.chunked = strings.EqualFold(value, "chunked")
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return fmt.Errorf("discovery: invalid Content-Length: %.40q", value)
		}
		r.remaining = int(n)
	}
	return nil
}

// readBody parses bytes of the body. A list ends with the line in which its last bracket closes, so it may be indented
// and span several lines.
func (r *Reader) readBody(p []byte, onList func(List)) error {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		r.trackNesting(p[:end])
		r.listBuffer = append(r.listBuffer, p[:end]...)
		lineEnded := p[end-1] == '\n'
		p = p[end:]
		if len(r.listBuffer) > maxListBytes {
			return errors.New("discovery: list too long")
		}
		if !lineEnded || r.depth > 0 && !r.inString {
			continue
		}
		if line := bytes.TrimSpace(r.listBuffer); len(line) > 0 {
			l, err := ParseList(line)
			if err != nil {
				return err
			}
			onList(l)
		}
		r.CompleteLines++
		r.listBuffer, r.depth, r.inString, r.escaped = r.listBuffer[:0], 0, false, false
	}
	return nil
}

// trackNesting counts open brackets outside JSON strings. A JSON string cannot span lines: readBody then ends the list at
// the line end, and parsing it fails.
func (r *Reader) trackNesting(p []byte) {
	for _, c := range p {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString && c == '\\':
			r.escaped = true
		case c == '"':
			r.inString = !r.inString
		case r.inString:
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
		}
	}
}
