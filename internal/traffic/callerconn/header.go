package callerconn

import (
	"bytes"
	"net/http"
)

// Estimates of the memory that connections and their requests hold, in bytes.
const (
	// connBytes is what an open connection takes: its buffers and its goroutine.
	connBytes = 16 << 10
	// servingBytes is what a request takes while it is served, besides its header and body: its
	// state and the connection to a server.
	servingBytes = 20 << 10
	// headerNameBytes and headerLineBytes are what the parser takes for a name and for each of
	// its lines, besides their bytes.
	headerNameBytes = 200
	headerLineBytes = 32
	// nameBytesPerByte bounds the memory for names by the bytes of their lines.
	nameBytesPerByte = 24
	// minLineBytes is the length of the shortest header line.
	minLineBytes = len("a:\n")
	// readBufferBytes is the HTTP server's: bytes that follow a header may be read with it.
	readBufferBytes = 4 << 10
	// handshakeBytes is an upper bound of what TLS adds to the first header.
	handshakeBytes = 32 << 10
)

// headMeter measures a header while it arrives.
type headMeter struct {
	bytes int
	lines int
}

// add counts bytes of a header. The lines of one that is encrypted are assumed to be short.
func (m *headMeter) add(p []byte, encrypted bool) {
	m.bytes += len(p)
	if encrypted {
		m.lines += len(p) / minLineBytes
		return
	}
	m.lines += bytes.Count(p, []byte{'\n'})
}

// memory returns what the parser takes at most. Short lines can't all have names of their own.
func (m *headMeter) memory() int64 {
	names := min(m.lines*headerNameBytes, m.bytes*nameBytesPerByte)
	return int64(2*m.bytes + m.lines*headerLineBytes + names)
}

// headerBytes returns the least size in which the header of the request can be sent, in
// bytes: optional white space is not counted.
func headerBytes(r *http.Request) int {
	const separators = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// headerMemory returns what the header of the size takes while the request is served: as parsed,
// as copied for an attempt, and as written to a server.
func headerMemory(r *http.Request, size int) int64 {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	parsed := size + len(r.Header)*headerNameBytes + lines*headerLineBytes
	return int64(2*parsed + 2*size)
}
