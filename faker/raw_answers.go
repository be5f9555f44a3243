package faker

import "fmt"

// RawAnswer is the bytes of an answer, for a RawWorker.
type RawAnswer struct {
	Name string // what is special about it
	Text string
}

// MalformedAnswers returns answers with a body whose heads or trailers HTTP does not allow.
func MalformedAnswers(body string) []RawAnswer {
	inner := sized("HTTP/1.1 200 OK", body)
	chunks := chunk(body) + "0\r\n"
	return []RawAnswer{
		{"status 000", sized("HTTP/1.1 000 Odd", body)},
		{"status 099", sized("HTTP/1.1 099 Odd", body)},
		{"status 000, whose body is an answer", sized("HTTP/1.1 000 Odd", inner)},
		{"status 099, whose body is an answer", sized("HTTP/1.1 099 Odd", inner)},
		{"status 000 without a length, before another answer", "HTTP/1.1 000 Odd\r\n\r\n" + inner},
		{"a status of two digits", sized("HTTP/1.1 20 OK", body)},
		{"a negative status", sized("HTTP/1.1 -12 Odd", body)},
		{"a blank before the colon of its length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(body), body)},
		{"a blank before the colon of its encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n"},
		{"a blank in a name", withField("X Odd: 1", body)},
		{"a blank in a name, and status 404", sized("HTTP/1.1 404 None\r\nX Odd: 1", body)},
		{"a blank in a name of its trailer", inChunks(chunks + "X Odd: 1")},
		{"a control byte in a name", withField("X\x01Odd: 1", body)},
		{"a tab in a name", withField("X\tOdd: 1", body)},
		{"a NUL in a name", withField("X\x00Odd: 1", body)},
		{"a DEL in a name", withField("X\x7fOdd: 1", body)},
		{"a bare return in a name", withField("X\rOdd: 1", body)},
		{"a high byte in a name", withField("X\xe9Odd: 1", body)},
		{"an empty name", withField(": 1", body)},
		{"a line without a colon", withField("Odd", body)},
		{"a control byte in a value", withField("Odd: \x01", body)},
		{"a control byte in a name of its trailer", inChunks(chunks + "X\x01Odd: 1")},
	}
}

// UnusualAnswers returns answers with a body that are sound though few servers send them.
func UnusualAnswers(body string) []RawAnswer {
	chunks := chunk(body) + "0\r\n"
	return []RawAnswer{
		{"informational answers before it", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sized("HTTP/1.1 200 OK", body)},
		{"no reason", sized("HTTP/1.1 200", body)},
		{"an odd reason", sized("HTTP/1.1 200 Odd", body)},
		{"all bytes that a name may have", withField("X-aZ09!#$%&'*+.^_`|~: 1", body)},
		{"blanks and tabs around a value", withField("Odd: \t 1 \t", body)},
		{"an empty value", withField("Odd:", body)},
		{"a field that comes twice", withField("Odd: 1\r\nodd: 2", body)},
		{"a trailer", inChunks(chunks + "X-Sum: 1")},
		{"a trailer that its head announces", "HTTP/1.1 200 OK\r\nTrailer: X-Sum, X-More\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-Sum: 1\r\n\r\n"},
	}
}

// sized returns an answer with a length, after the lines of its head.
func sized(lines, body string) string {
	return lines + "\r\n" + contentLength(body) + "\r\n\r\n" + body
}

// withField returns a sound answer with a further line in its head.
func withField(line, body string) string { return sized("HTTP/1.1 200 OK\r\n"+line, body) }

// inChunks returns an answer in chunks, whose last line is in its trailer.
func inChunks(text string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text + "\r\n\r\n"
}
