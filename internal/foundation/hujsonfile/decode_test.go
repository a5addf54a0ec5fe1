package hujsonfile

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleDecode() {
	var plan struct {
		Rate int `json:"rate"`
	}
	err := Decode([]byte("{\"rate\": 5,} // per second"), &plan)
	fmt.Println(plan.Rate, err)
	// Output: 5 <nil>
}

// Without the line number an error in a long file is hard to find.
func TestDecodeErrors(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"syntax":  {"{\n  \"rate\": }", "line 2"},
		"type":    {"{\n  \"rate\": \"five\"}", "line 2"},
		"unknown": {"{\n  \"rat\": 5}", "unknown field"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var plan struct {
				Rate int `json:"rate"`
			}
			assert.ErrorContains(t, Decode([]byte(c.text), &plan), c.want)
		})
	}
}
