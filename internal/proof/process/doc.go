// Package process holds the tests that run the programs as separate processes
// and kill, freeze, cut and stop them. It has tests alone.
package process
