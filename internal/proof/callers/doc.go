// Package callers starts the daemons as processes on loopback addresses and lets crowds of
// misbehaving clients call them, or lets servers answer crowds without end. It checks that the
// process lives within the memory and the file descriptors of its host, and that an ordinary
// request is answered beside and after the crowd. It contains only tests, which measure the memory
// of processes and so run one at a time.
package callers
