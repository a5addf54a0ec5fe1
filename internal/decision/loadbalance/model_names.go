package loadbalance

const (
	// maxModels bounds the models whose times are remembered: on some routes callers name them
	// freely.
	maxModels     = 256
	maxModelBytes = 256
)

// remembers reports whether times of the model are recorded, and makes room for those of a new
// one. b.mu must be held.
func (b *Balancer) remembers(key modelKey) bool {
	if len(key.model) > maxModelBytes {
		return false
	}
	if _, known := b.modelNames[key]; known {
		return true
	}
	if len(b.modelNames) >= maxModels {
		for other := range b.modelNames {
			delete(b.modelNames, other)
			delete(b.models, other)
			delete(b.runTimes, other)
			delete(b.decode, other)
			break
		}
	}
	b.modelNames[key] = struct{}{}
	return true
}
