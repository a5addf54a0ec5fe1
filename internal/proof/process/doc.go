// Package process tests the programs as separate processes that are killed, frozen,
// stopped and made to lose responses. It contains only tests.
package process
