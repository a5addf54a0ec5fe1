package coldstart

import "slices"

// SlotCache caches the slots of one member by server. They change only with the list of
// members or the capacity of the server. It isn't safe for concurrent use.
type SlotCache struct {
	self    string
	members []string
	servers map[string]cachedSlots
}

type cachedSlots struct {
	capacity int
	slots    int
}

// NewSlotCache returns the cache of the member self, which has no slots until SetMembers.
func NewSlotCache(self string) *SlotCache {
	return &SlotCache{self: self, servers: make(map[string]cachedSlots)}
}

// Self returns the member whose slots the cache holds.
func (c *SlotCache) Self() string { return c.self }

// SetMembers replaces the list of members, which the cache keeps.
func (c *SlotCache) SetMembers(members []string) {
	if slices.Equal(c.members, members) {
		return
	}
	c.members = members
	clear(c.servers)
}

// Slots returns the member's slots at a server with the given capacity.
func (c *SlotCache) Slots(server string, capacity int) int {
	if cached, ok := c.servers[server]; ok && cached.capacity == capacity {
		return cached.slots
	}
	slots := Slots(server, capacity, c.members, c.self)
	c.servers[server] = cachedSlots{capacity, slots}
	return slots
}
