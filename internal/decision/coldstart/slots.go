// Package coldstart divides what a cold backend server bears among the daemons.
package coldstart

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Slots returns how many requests the member may have under way at the cold
// server. Each slot belongs to one member by rendezvous hash, so the members'
// slots add up to what the server bears with no message between them, under
// any partition. Where the server bears more than there are members, the
// slots go round.
func Slots(server string, bears int, members []string, self string) int {
	if len(members) == 0 || bears <= 0 || !slices.Contains(members, self) {
		return 0
	}
	whole, rest := bears/len(members), bears%len(members)
	if rank(server, members, self) < rest {
		return whole + 1
	}
	return whole
}

// rank returns the member's place in the rendezvous order for the server.
func rank(server string, members []string, self string) int {
	own, before := container.Hash(server, self), 0
	for _, m := range members {
		if container.Hash(server, m) > own {
			before++
		}
	}
	return before
}
