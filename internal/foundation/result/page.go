package result

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/RESULT_CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery answer carries `X-Result-Code` and `X-Run`; a refusal's body repeats them.\n" +
		"`run` says whether the request may have taken effect: `no` is a promise. Where coming back helps,\n" +
		"`Retry-After` says when. This page is made by `gypsumpitchd print-codes-page`.\n\n" +
		"| number | name | HTTP status | run | come back after | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range All() {
		retryAfter := ""
		if c.RetryAfterMs > 0 {
			retryAfter = fmt.Sprintf("%d ms", c.RetryAfterMs)
		}
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", c.Number, c.Name, c.HTTPStatus, c.Run, retryAfter, c.Meaning)
	}
	return b.String()
}
