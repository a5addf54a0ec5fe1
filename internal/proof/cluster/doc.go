// Package cluster holds the stateful fuzzing of several control cores under one
// virtual clock, beside an oracle that is told only what was asked and answered.
// It has tests alone.
package cluster
