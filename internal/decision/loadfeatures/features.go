// Package loadfeatures names the optional features for competing callers and uneven
// servers, which a deployment's settings switch on.
package loadfeatures

// Mode says when a feature applies.
type Mode int

// The modes of a feature.
const (
	Auto Mode = iota // where the deployment calls for it
	On
	Off
)

// ParseMode returns the mode that a checked settings value names.
func ParseMode(value string) Mode {
	switch value {
	case "on":
		return On
	case "off":
		return Off
	}
	return Auto
}

// Features are the features that apply to a daemon. The zero value has no shared capacity,
// and uneven servers where servers state their pace.
type Features struct {
	// SharedCapacity makes requests wait in the daemon by urgency and fair share, and
	// rejects those that can't be served in time.
	SharedCapacity bool
	// UnevenServers is the mode of placement by the speed of servers. Auto applies to the
	// pools whose servers state how long work takes on their machines.
	UnevenServers Mode
}

// WithSharedCapacity returns the features with shared capacity as the mode says; Auto
// follows whether the platform calls for it.
func (f Features) WithSharedCapacity(m Mode, called bool) Features {
	f.SharedCapacity = m == On || (m == Auto && called)
	return f
}

// WithUnevenServers returns the features with the mode of uneven servers.
func (f Features) WithUnevenServers(m Mode) Features {
	f.UnevenServers = m
	return f
}
