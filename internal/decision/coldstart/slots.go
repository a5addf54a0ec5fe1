// Package coldstart divides the capacity of a cold backend server among the daemons.
package coldstart

import (
	"slices"

	"gypsumpitch.example/gypsumpitch/internal/foundation/container"
)

// Slots returns the maximum number of in-flight requests of the member self at the cold
// server. Each slot belongs to one member by rendezvous hash, so the slots of all members
// add up to the server's capacity without any messages between them and under any network
// partition. If there are more slots than members, they are divided evenly.
func Slots(server string, capacity int, members []string, self string) int {
	if len(members) == 0 || capacity <= 0 || !slices.Contains(members, self) {
		return 0
	}
	each, extra := capacity/len(members), capacity%len(members)
	if rank(server, members, self) < extra {
		return each + 1
	}
	return each
}

// Owners returns the members that have slots at the server, in rendezvous order.
func Owners(server string, capacity int, members []string) []string {
	order := container.Rendezvous(server, members, func(m string) string { return m })
	return order[:min(max(capacity, 0), len(order))]
}

// rank returns the position of self in the members' rendezvous order for the server.
func rank(server string, members []string, self string) int {
	own, position := container.Hash(server, self), 0
	for _, m := range members {
		if container.Hash(server, m) > own {
			position++
		}
	}
	return position
}
