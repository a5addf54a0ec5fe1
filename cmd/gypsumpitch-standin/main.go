// Command gypsumpitch-standin runs a stand-in for a platform service or a backend server, for
// tests and demonstrations.
package main

import (
	"os"

	"gypsumpitch.example/gypsumpitch/internal/program/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
