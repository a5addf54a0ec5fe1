// Command gypsumpitch-standin runs a small fake of a platform service or a back end.
package main

import (
	"os"

	"gypsumpitch.example/gypsumpitch/internal/program/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
