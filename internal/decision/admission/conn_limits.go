package admission

const (
	// connMemoryShare is the share of a host's memory that connections may hold: half of the
	// soft limit of the Go runtime.
	connMemoryShare = 0.3
	// reservedFiles of a host's descriptors are no sockets, or a third where there are few.
	reservedFiles        = 200
	reservedFilesDivisor = 3
	maxCheckConns        = 64
)

// ConnMemory returns the bytes that connections may hold on a host with the memory; 0 if the
// memory is unknown.
func ConnMemory(hostBytes int64) int64 { return int64(float64(hostBytes) * connMemoryShare) }

// ConnLimits are the most connections that a daemon accepts at its listeners.
type ConnLimits struct {
	Callers int
	Peers   int
	Checks  int // at each listener for readiness checks, metrics or operators
}

// DivideFiles divides the file descriptors of a daemon. What is left, three eighths or more, is for
// its own connections to servers, peers and the store. 0 files mean no limit.
func DivideFiles(files int64) ConnLimits {
	if files <= 0 {
		return ConnLimits{}
	}
	sockets := int(files - min(reservedFiles, files/reservedFilesDivisor))
	return ConnLimits{
		Callers: max(sockets*3/8, 1),
		Peers:   max(sockets/6, 1),
		Checks:  min(max(sockets/32, 1), maxCheckConns),
	}
}
