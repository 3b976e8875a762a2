package pgwire

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Request is the information about a request in the comment before its statement. Key, Team and Session may be stored
// after the request has ended; they hold no part of its text.
type Request struct {
	ID         string
	Class      string
	Timeout    time.Duration // how long the client waits for the answer
	Key        string        // idempotency key of a write
	Retry      bool
	Cluster    int64
	After      int64  // the log position that a session read must see, in Unix ms
	HasAfter   bool   // whether the comment has a position
	Team       string // the team that the comment names
	Session    string // the session's key: the first quoted string of the statement, or a digest of it if it is long
	History    string // of a change feed's cursor: the log history (see policy/cursor) to which After belongs
	Generation int64  // of a change feed's cursor: distinguishes the subscriber's connections

	text                     string
	timeoutStart, timeoutEnd int    // the offsets in text of the value of d
	afterSpan                [2]int // the offsets in text of the value of after
}

// ErrComment is wrapped by every error in a comment. The router sends such errors to clients.
var ErrComment = errors.New("request comment")

const maxTimeout = time.Hour

// maxFields is how many fields a comment may have. It is several times the number of known names.
const maxFields = 64

// ParseRequest parses a statement with its comment, without allocating memory for each field:
//
//	/* id=9b1f,c=order,d=480,k=5c0f,cluster=2,after=1767225600123 */ SELECT ...
//
// The names are id for ID, c for Class, d for Timeout in ms, k for Key, r for Retry, cluster for Cluster (the group),
// after for After, team for Team, history for History and gen for Generation. Unknown names are ignored. It is an error
// if a name is repeated or there are more than maxFields fields.
func ParseRequest(text string) (Request, error) {
	request := Request{text: text}
	start := len(text) - len(strings.TrimLeft(text, " \t\r\n"))
	if !strings.HasPrefix(text[start:], "/*") {
		return request, fmt.Errorf("%w: missing", ErrComment)
	}
	start += 2
	length := strings.Index(text[start:], "*/")
	if length < 0 {
		return request, fmt.Errorf("%w: does not end", ErrComment)
	}
	end := start + length
	names := make([]string, 0, maxFields)
	for offset := start; offset < end; {
		next := end
		if comma := strings.IndexByte(text[offset:end], ','); comma >= 0 {
			next = offset + comma
		}
		if len(names) == maxFields {
			return request, fmt.Errorf("%w: more than %d fields", ErrComment, maxFields)
		}
		name, err := request.parseField(offset, next, names)
		if err != nil {
			return request, err
		}
		names = append(names, name)
		offset = next + 1
	}
	for _, name := range []string{"id", "c", "d", "cluster"} {
		if !slices.Contains(names, name) {
			return request, fmt.Errorf("%w: no %s", ErrComment, name)
		}
	}
	request.Session = sessionKey(firstQuoted(text[end+2:]))
	return request, nil
}

// parseField parses one name and value, which are the bytes of the text between two offsets, and returns the name. It
// is an error if the name is among those of the earlier fields.
func (request *Request) parseField(start, end int, earlier []string) (string, error) {
	for start < end && request.text[start] == ' ' {
		start++
	}
	for end > start && request.text[end-1] == ' ' {
		end--
	}
	name, value, ok := strings.Cut(request.text[start:end], "=")
	if !ok || name == "" || value == "" || slices.Contains(earlier, name) {
		return "", fmt.Errorf("%w: bad or repeated field %.40q", ErrComment, request.text[start:end])
	}
	var err error
	switch name {
	case "id":
		request.ID, err = value, checkName(value)
	case "c":
		request.Class = value
	case "team":
		request.Team = strings.Clone(value)
	case "k":
		request.Key, err = strings.Clone(value), checkName(value)
	case "r":
		request.Retry = value == "1"
	case "d":
		var ms float64
		ms, err = strconv.ParseFloat(value, 64)
		if err == nil && !(ms >= 0 && ms <= float64(maxTimeout/time.Millisecond)) {
			err = strconv.ErrRange
		}
		if err == nil {
			request.Timeout = time.Duration(ms * float64(time.Millisecond))
		}
		request.timeoutStart, request.timeoutEnd = start+2, end
	case "history":
		request.History, err = value, checkName(value)
	case "gen":
		request.Generation, err = strconv.ParseInt(value, 10, 64)
		if err == nil && (request.Generation < 0 || request.Generation > 1<<53) {
			err = strconv.ErrRange
		}
	case "cluster":
		request.Cluster, err = strconv.ParseInt(value, 10, 64)
	case "after":
		request.After, err = strconv.ParseInt(value, 10, 64)
		if err == nil && (request.After < 0 || request.After > 1<<43) {
			err = strconv.ErrRange
		}
		request.HasAfter, request.afterSpan = true, [2]int{end - len(value), end}
	}
	if err != nil {
		return "", fmt.Errorf("%w: %s: bad value %.40q", ErrComment, name, value)
	}
	return name, nil
}

const maxNameLength = 64

// checkName returns an error unless a string is a valid ID or key: a data server closes its connection if it can't
// parse one.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return strconv.ErrRange
	}
	for _, char := range []byte(name) {
		switch {
		case char >= '0' && char <= '9', char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char == '-', char == '_', char == '.', char == ':':
		default:
			return strconv.ErrSyntax
		}
	}
	return nil
}

// maxSessionKeyLength is the length in bytes up to which a session's key is stored as it is.
const maxSessionKeyLength = 64

// sessionKey returns a copy of a session's key, or the key's digest if it is longer than maxSessionKeyLength.
func sessionKey(key string) string {
	if len(key) <= maxSessionKeyLength {
		return strings.Clone(key)
	}
	digest := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(digest[:])
}

// firstQuoted returns the first quoted string of a statement.
func firstQuoted(statement string) string {
	_, statement, ok := strings.Cut(statement, "'")
	if !ok {
		return ""
	}
	statement, _, _ = strings.Cut(statement, "'")
	return statement
}

// Statement returns the text after the comment.
func (request *Request) Statement() string {
	_, statement, _ := strings.Cut(request.text, "*/")
	return statement
}

// Size returns the length of the statement with its comment.
func (request *Request) Size() int { return len(request.text) }

// RaiseAfter raises the position that a session read must see to at least the given one, also in the comment, where
// data servers check it.
func (request *Request) RaiseAfter(after int64) {
	if request.HasAfter && request.After >= after {
		return
	}
	value := strconv.FormatInt(after, 10)
	if request.HasAfter {
		start, end := request.afterSpan[0], request.afterSpan[1]
		request.text = request.text[:start] + value + request.text[end:]
		if growth := len(value) - (end - start); request.timeoutStart > start {
			request.timeoutStart, request.timeoutEnd = request.timeoutStart+growth, request.timeoutEnd+growth
		}
		request.afterSpan[1] = start + len(value)
	} else {
		const name = ",after="
		request.text = request.text[:request.timeoutEnd] + name + value + request.text[request.timeoutEnd:]
		request.afterSpan = [2]int{request.timeoutEnd + len(name), request.timeoutEnd + len(name) + len(value)}
	}
	request.After, request.HasAfter = after, true
}

// WriteQuery writes the request as a simple query, unchanged except for d, which is set to the time in ms that the
// router will wait for the data server.
func (request *Request) WriteQuery(writer io.Writer, timeout time.Duration) error {
	ms := strconv.FormatInt(max(1, timeout.Milliseconds()), 10)
	parts := []string{request.text[:request.timeoutStart], ms, request.text[request.timeoutEnd:]}
	if _, err := writer.Write(queryHeader(len(parts[0]) + len(ms) + len(parts[2]))); err != nil {
		return err
	}
	for _, part := range append(parts, "\x00") {
		if _, err := io.WriteString(writer, part); err != nil {
			return err
		}
	}
	return nil
}

// IsBlank reports whether a query has no statement and so is answered at once.
func IsBlank(text string) bool { return strings.Trim(text, " \t\r\n;") == "" }

// Report is a data server's report of its position, role and load.
type Report struct {
	Position  int64 // Unix ms; 0: not reported
	Primary   bool
	HasRole   bool
	Waiting   int
	Active    int
	HasLoad   bool // Waiting and Active were reported
	HasActive bool // Active was reported
}

// ParseReport parses a load report such as x0=1767225600.123,x1=1,inflight=7.
func ParseReport(text string) (Report, error) {
	var report Report
	var hasWaiting, hasActive bool
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return Report{}, fmt.Errorf("%w: load report field %.40q", ErrMalformed, pair)
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < 1<<33) {
			return Report{}, fmt.Errorf("%w: load report field %.40q", ErrMalformed, pair)
		}
		switch name {
		case "x0":
			report.Position = int64(number * 1e3)
		case "x1":
			report.Primary, report.HasRole = number == 1, true
		case "waiting", "queue":
			report.Waiting, hasWaiting = int(number+0.5), true
		case "active", "inflight":
			report.Active, hasActive = int(number+0.5), true
		}
	}
	report.HasLoad, report.HasActive = hasWaiting && hasActive, hasActive
	return report, nil
}
