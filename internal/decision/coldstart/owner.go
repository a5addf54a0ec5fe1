package coldstart

import "slices"

// SlotCache remembers a member's slots, which only change with the list of members
// or with what a server bears. It belongs to one goroutine.
type SlotCache struct {
	self    string
	members []string
	known   map[string]owned
}

type owned struct {
	bears int
	slots int
}

// NewSlotCache returns the owner of a member that knows no others yet.
func NewSlotCache(self string) *SlotCache {
	return &SlotCache{self: self, known: make(map[string]owned)}
}

// SetMembers takes in the list of members.
func (o *SlotCache) SetMembers(members []string) {
	if slices.Equal(o.members, members) {
		return
	}
	o.members = members
	clear(o.known)
}

// Slots returns the member's slots at the server.
func (o *SlotCache) Slots(server string, bears int) int {
	if k, ok := o.known[server]; ok && k.bears == bears {
		return k.slots
	}
	slots := Slots(server, bears, o.members, o.self)
	o.known[server] = owned{bears, slots}
	return slots
}
