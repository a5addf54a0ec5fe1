package h1

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// readHead reads the head of a response, and skips informational ones before it.
func readHead(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// checkHead returns an error for a head that is none by the rules of HTTP, though net/http takes
// it.
func checkHead(status int, header http.Header) error {
	if status < http.StatusContinue {
		return errors.Errorf("status %d", status)
	}
	return checkNames(header)
}

// checkNames returns an error if a name holds a space. net/http refuses all other invalid names, but
// leaves these as they are, so that a line that was meant to frame the body would have no effect.
func checkNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return errors.Errorf("header name %q", name)
		}
	}
	return nil
}

// endOfBody returns the error of a read of the body: that of the trailer, if the body has ended with
// a broken one.
func endOfBody(response *http.Response, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if invalid := checkNames(response.Trailer); invalid != nil {
		return errors.Wrap(invalid, "read trailer")
	}
	return err
}
